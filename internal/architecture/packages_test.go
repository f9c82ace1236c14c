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

// The system packages that a build may need.
const (
	compilerPackage     = "gcc"             // also installs the linker
	headersPackage      = "libc6-dev"       // C headers, start-up files and libraries for linking
	certificatesPackage = "ca-certificates" // for downloads of modules from the proxy
)

// commandPackages maps each command that the build line may call to the system package that provides it. The empty
// string stands for the Go installation or an essential package, which the deploy file does not list.
var commandPackages = map[string]string{"go": "", "mkdir": ""}

// libraryPackages maps each linker flag that cgo packages may use to the system package with the library.
var libraryPackages = map[string]string{
	"-lpthread": headersPackage,
	"-lresolv":  headersPackage,
	"-ldl":      headersPackage,
	"-lm":       headersPackage,
}

// deployment is the part of the deploy file that describes the build.
type deployment struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

// listedPackage is a Go package in the output of `go list -json`.
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

// TestDeployFileListsThePackagesOfTheBuild checks that the deploy file lists exactly the system packages that the
// commands of its build line and the libraries linked into the built programs need.
func TestDeployFileListsThePackagesOfTheBuild(t *testing.T) {
	var deployed deployment
	_, err := toml.DecodeFile(deployFile, &deployed)
	assert.NilError(t, err)
	needed := map[string]bool{}
	for _, command := range buildCommands(deployed.Build) {
		systemPackage, known := commandPackages[command]
		assert.Assert(t, known, "the build calls %s, which is not in commandPackages", command)
		needed[systemPackage] = true
	}
	if strings.Contains(deployed.Build, "-linkmode=external") {
		needed[compilerPackage], needed[headersPackage] = true, true
	}
	for _, built := range dependencies(t, buildTargets(deployed.Build)) {
		addNeededPackages(t, needed, built)
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

// buildCommands returns the names of the commands that a build line calls.
func buildCommands(line string) []string {
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

// buildTargets returns the Go packages that a build line builds.
func buildTargets(line string) []string {
	var targets []string
	for word := range strings.FieldsSeq(line) {
		if strings.HasPrefix(word, "./") {
			targets = append(targets, word)
		}
	}
	return targets
}

// dependencies returns the targets and all Go packages that they depend on.
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

// addNeededPackages adds the system packages that building a Go package needs.
func addNeededPackages(t *testing.T, needed map[string]bool, built listedPackage) {
	t.Helper()
	other := len(built.CXXFiles) + len(built.FFiles) + len(built.SwigFiles) + len(built.CgoPkgConfig)
	assert.Equal(t, other, 0, "%s needs more than a C compiler", built.ImportPath)
	if len(built.CgoFiles) > 0 {
		needed[compilerPackage], needed[headersPackage] = true, true
	}
	for _, flag := range built.CgoLDFLAGS {
		if strings.HasPrefix(flag, "-l") {
			systemPackage, known := libraryPackages[flag]
			assert.Assert(t, known, "%s is linked with %s, which is not in libraryPackages", built.ImportPath, flag)
			needed[systemPackage] = true
		}
	}
	if !built.Standard && !strings.HasPrefix(built.ImportPath, "gladepick") {
		needed[certificatesPackage] = true
	}
}
