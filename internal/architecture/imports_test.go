// Package architecture_test checks which package may import which, as docs/architecture.md says.
package architecture_test

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	moduleRoot = "../.."
	moduleName = "gladepick"
	handbook   = "docs/architecture.md"
)

// importLine is one import of one file.
type importLine struct {
	place string // "file:line"
	file  string // its name
	from  string // the importing package's folder, "." for the root
	path  string // as it is written
}

// isTest tells whether the file belongs to the package's tests.
func (l importLine) isTest() bool { return strings.HasSuffix(l.file, "_test.go") }

// folder returns the folder of the imported package, and false where it is not of this module.
func (l importLine) folder() (string, bool) {
	if l.path == moduleName {
		return ".", true
	}
	return strings.CutPrefix(l.path, moduleName+"/")
}

// readImports returns the imports of all files of the module, and the folders that hold any file.
func readImports(t *testing.T) (imports []importLine, folders []string) {
	t.Helper()
	err := filepath.WalkDir(moduleRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && name != moduleRoot && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") {
			return nil
		}
		found, err := readFile(name)
		imports = append(imports, found...)
		folders = append(folders, folderOf(name))
		return err
	})
	assert.NilError(t, err)
	slices.Sort(folders)
	return imports, slices.Compact(folders)
}

func folderOf(name string) string {
	folder, err := filepath.Rel(moduleRoot, filepath.Dir(name))
	if err != nil {
		return name
	}
	return filepath.ToSlash(folder)
}

func readFile(name string) ([]importLine, error) {
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, name, nil, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	imports := make([]importLine, 0, len(parsed.Imports))
	for _, each := range parsed.Imports {
		imported, err := strconv.Unquote(each.Path.Value)
		if err != nil {
			return nil, err
		}
		from, file := folderOf(name), filepath.Base(name)
		place := fmt.Sprintf("%s:%d", path.Join(from, file), files.Position(each.Pos()).Line)
		imports = append(imports, importLine{place: place, file: file, from: from, path: imported})
	}
	return imports, nil
}

// problemsOf returns what is wrong with an import.
func problemsOf(line importLine) []string {
	var problems []string
	if strings.HasPrefix(line.path, majorityLog) && line.from != "internal/dispatcher/raftgroup" {
		problems = append(problems, fmt.Sprintf("%s: %s is for internal/dispatcher/raftgroup alone", line.place, line.path))
	}
	to, ours := line.folder()
	if !ours || to == line.from {
		return problems
	}
	if strings.HasPrefix(to, "cmd/") {
		problems = append(problems, fmt.Sprintf("%s: %s is a program", line.place, to))
	}
	if !planeAllows(line.from, to) {
		problems = append(problems, fmt.Sprintf("%s: %s (%s) may not import %s (%s)",
			line.place, line.from, planeOf[line.from], to, planeOf[to]))
	}
	if !line.isTest() && !packageAllows(line.from, to) {
		problems = append(problems, fmt.Sprintf("%s: %s may not import %s", line.place, line.from, to))
	}
	return problems
}

// TestImportsFollowThePlanes checks the direction of every import, those of tests among them.
func TestImportsFollowThePlanes(t *testing.T) {
	imports, _ := readImports(t)
	assert.Assert(t, len(imports) > 0)
	var problems []string
	for _, line := range imports {
		problems = append(problems, problemsOf(line)...)
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

// TestEveryPackageHasAPlane finds packages that no rule knows, and rules for packages that are gone.
func TestEveryPackageHasAPlane(t *testing.T) {
	_, folders := readImports(t)
	var problems []string
	for _, folder := range folders {
		if planeOf[folder] == "" {
			problems = append(problems, folder+" has no plane: give it one in planes_test.go and in "+handbook)
		}
	}
	for folder := range planeOf {
		if !slices.Contains(folders, folder) {
			problems = append(problems, folder+" has a plane, but no files")
		}
	}
	slices.Sort(problems)
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

// TestTheHandbookNamesEveryPackage checks that docs/architecture.md names every package, and every plane.
func TestTheHandbookNamesEveryPackage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, handbook))
	assert.NilError(t, err)
	var missing []string
	for folder, plane := range planeOf {
		if folder != "." && !strings.Contains(string(text), "`"+folder+"`") {
			missing = append(missing, folder)
		}
		if !strings.Contains(strings.ToLower(string(text)), "| "+string(plane)+" |") {
			missing = append(missing, "plane "+string(plane))
		}
	}
	slices.Sort(missing)
	assert.Equal(t, strings.Join(slices.Compact(missing), "\n"), "")
}

// TestForbiddenImportsAreFound checks the rules themselves by imports that must not be.
func TestForbiddenImportsAreFound(t *testing.T) {
	forbidden := []importLine{
		{from: "internal/messagestore", path: "gladepick/internal/controlplane"},
		{from: "internal/messagestore", path: "gladepick/internal/ingress"},
		{from: "internal/messagestore", path: "gladepick/internal/delivery"},
		{from: "internal/delivery", path: "gladepick/internal/messagestore"},
		{from: "internal/ingress", path: "gladepick/internal/messagestore"},
		{from: "internal/controlplane", path: "gladepick/internal/systemnode"},
		{from: "internal/rpc", path: "gladepick/internal/cluster"},
		{from: "internal/wal", path: "gladepick/internal/rpc"},
		{from: "internal/network", path: "gladepick/internal/rpc"},
		{from: "internal/controlplane/replication", path: "gladepick/internal/cluster"},
		{from: "internal/systemnode", path: "gladepick/internal/operatorcli"},
		{from: "internal/systemnode", path: "gladepick/internal/dispatcher/raftgroup"},
		{from: "internal/capacity", path: "gladepick/cmd/gladepick-system"},
		{from: "internal/controlplane", path: "go.etcd.io/raft/v3"},
		{from: "internal/decision", path: "gladepick/internal/cluster"},
		{from: "internal/dispatcher/durablejobs", path: "gladepick/internal/cluster"},
	}
	for _, line := range forbidden {
		assert.Check(t, len(problemsOf(line)) > 0, "%s may import %s", line.from, line.path)
	}
}
