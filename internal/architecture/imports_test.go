// Package architecture_test checks the rules of docs/architecture.md: which packages may import which, the order of
// imports, doc comments, the system packages of a build, and the names and links in the pages.
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
	moduleRoot       = "../.."
	moduleName       = "gladepick"
	architecturePage = "docs/architecture.md"
)

// importLine is one import declaration of a file.
type importLine struct {
	place string // "file:line"
	file  string // base name of the file
	from  string // the importing package's folder, "." for the root
	path  string // import path
}

// isTest reports whether the import is in a test file.
func (l importLine) isTest() bool { return strings.HasSuffix(l.file, "_test.go") }

// folder returns the folder of the imported package, and false if the package is not part of this module.
func (l importLine) folder() (string, bool) {
	if l.path == moduleName {
		return ".", true
	}
	return strings.CutPrefix(l.path, moduleName+"/")
}

// readImports returns the imports of all Go files of the module, and the folders that contain Go files.
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
		found, err := fileImports(name)
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

func fileImports(name string) ([]importLine, error) {
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

// importProblems returns the rules that an import violates.
func importProblems(line importLine) []string {
	var problems []string
	if strings.HasPrefix(line.path, raftLibrary) && line.from != "internal/dispatcher/raftgroup" {
		problems = append(problems, fmt.Sprintf("%s: only internal/dispatcher/raftgroup may import %s", line.place, line.path))
	}
	to, ours := line.folder()
	if !ours || to == line.from {
		return problems
	}
	if strings.HasPrefix(to, "cmd/") {
		problems = append(problems, fmt.Sprintf("%s: %s is a program and may not be imported", line.place, to))
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

// TestImportsFollowThePlanes checks every import against the rules, including those of test files.
func TestImportsFollowThePlanes(t *testing.T) {
	imports, _ := readImports(t)
	assert.Assert(t, len(imports) > 0)
	var problems []string
	for _, line := range imports {
		problems = append(problems, importProblems(line)...)
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

// TestEveryPackageHasAPlane finds packages without an entry in planeOf, and entries for packages that do not exist.
func TestEveryPackageHasAPlane(t *testing.T) {
	_, folders := readImports(t)
	var problems []string
	for _, folder := range folders {
		if planeOf[folder] == "" {
			problems = append(problems, folder+" has no plane: add it to planeOf in planes_test.go and to "+architecturePage)
		}
	}
	for folder := range planeOf {
		if !slices.Contains(folders, folder) {
			problems = append(problems, folder+" is in planeOf, but has no Go files")
		}
	}
	slices.Sort(problems)
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

// TestArchitecturePageListsEveryPackage checks that docs/architecture.md lists every package and every plane.
func TestArchitecturePageListsEveryPackage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, architecturePage))
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

// TestRulesRejectForbiddenImports checks that the rules reject each of these imports.
func TestRulesRejectForbiddenImports(t *testing.T) {
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
		assert.Check(t, len(importProblems(line)) > 0, "the rules let %s import %s", line.from, line.path)
	}
}
