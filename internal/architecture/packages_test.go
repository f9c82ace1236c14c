package architecture_test

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"
)

const (
	repositoryRoot = "../.."
	deployFile     = repositoryRoot + "/deploy/system.toml"
)

// The packages of the system that a build may need, by what it needs them for.
const (
	compilerPackage     = "gcc"             // with the linker, on which it depends
	headersPackage      = "libc6-dev"       // headers, start files and libraries to link with
	certificatesPackage = "ca-certificates" // to fetch modules from the proxy
)

// commandPackages are the commands that the build line may call, and what they come with; "" stands for the language or
// an essential package.
var commandPackages = map[string]string{"go": "", "mkdir": ""}

// libraryPackages are the libraries that C parts may be linked with.
var libraryPackages = map[string]string{
	"-lpthread": headersPackage,
	"-lresolv":  headersPackage,
	"-ldl":      headersPackage,
	"-lm":       headersPackage,
}

// deployment is the part of the deploy file that says how the system is built.
type deployment struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

// listedPackage is a Go package as `go list` describes it.
type listedPackage struct {
	ImportPath   string
	Standard     bool
	CgoFiles     []string
	CXXFiles     []string
	FFiles       []string
	SwigFiles    []string
	CgoLDFLAGS   []string
	CgoPkgConfig []string
}

// TestDeployFileListsThePackagesOfTheBuild holds the list of system packages against what the build line calls and what
// the sources that it builds are linked with.
func TestDeployFileListsThePackagesOfTheBuild(t *testing.T) {
	var deployed deployment
	_, err := toml.DecodeFile(deployFile, &deployed)
	assert.NilError(t, err)
	needed := map[string]bool{}
	for _, command := range commandsOf(deployed.Build) {
		comesWith, known := commandPackages[command]
		assert.Assert(t, known, "the build calls %s: which package has it?", command)
		needed[comesWith] = true
	}
	if strings.Contains(deployed.Build, "-linkmode=external") {
		needed[compilerPackage], needed[headersPackage] = true, true
	}
	for _, built := range dependencies(t, targetsOf(deployed.Build)) {
		addNeeds(t, needed, built)
	}
	delete(needed, "")
	var names []string
	for name := range needed {
		names = append(names, name)
	}
	slices.Sort(names)
	slices.Sort(deployed.Packages)
	assert.DeepEqual(t, deployed.Packages, names)
}

// commandsOf returns the commands that a build line calls.
func commandsOf(line string) []string {
	var commands []string
	for part := range strings.SplitSeq(line, "&&") {
		for word := range strings.FieldsSeq(part) {
			if !strings.Contains(word, "=") {
				commands = append(commands, word)
				break
			}
		}
	}
	return commands
}

// targetsOf returns the packages that a build line builds.
func targetsOf(line string) []string {
	var targets []string
	for word := range strings.FieldsSeq(line) {
		if strings.HasPrefix(word, "./") {
			targets = append(targets, word)
		}
	}
	return targets
}

// dependencies lists the packages that targets are built of.
func dependencies(t *testing.T, targets []string) []listedPackage {
	t.Helper()
	command := exec.Command("go", append([]string{"list", "-deps", "-json"}, targets...)...)
	command.Dir = repositoryRoot
	command.Env = append(os.Environ(), "CGO_ENABLED=1")
	output, err := command.Output()
	assert.NilError(t, err)
	var all []listedPackage
	for decoder := json.NewDecoder(strings.NewReader(string(output))); ; {
		var next listedPackage
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return all
		}
		assert.NilError(t, err)
		all = append(all, next)
	}
}

// addNeeds adds what a Go package is built with.
func addNeeds(t *testing.T, needed map[string]bool, built listedPackage) {
	t.Helper()
	other := len(built.CXXFiles) + len(built.FFiles) + len(built.SwigFiles) + len(built.CgoPkgConfig)
	assert.Equal(t, other, 0, "%s needs more than a C compiler", built.ImportPath)
	if len(built.CgoFiles) > 0 {
		needed[compilerPackage], needed[headersPackage] = true, true
	}
	for _, flag := range built.CgoLDFLAGS {
		if strings.HasPrefix(flag, "-l") {
			comesWith, known := libraryPackages[flag]
			assert.Assert(t, known, "%s is linked with %s: which package has it?", built.ImportPath, flag)
			needed[comesWith] = true
		}
	}
	if !built.Standard && !strings.HasPrefix(built.ImportPath, "gladepick") {
		needed[certificatesPackage] = true
	}
}
