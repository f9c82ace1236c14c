package decision

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
)

// repositoryRoot is the path from this folder to the root of the repository.
const repositoryRoot = "../.."

// policyFiles returns the names of the files that deploy/balancer.toml lists as the policy.
func policyFiles(t *testing.T) []string {
	var settings struct{ Policy []string }
	if _, err := toml.DecodeFile(filepath.Join(repositoryRoot, "deploy/balancer.toml"), &settings); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range settings.Policy {
		name, ok := strings.CutPrefix(path, "internal/decision/")
		if !ok {
			t.Errorf("%s is listed as policy, but is not in internal/decision", path)
		}
		names = append(names, name)
	}
	return names
}

// interfaceFiles are the files that make no decisions: the package documentation, the types of the interface
// with the validation of their values, and the hash.
var interfaceFiles = []string{
	"action.go", "doc.go", "event.go", "hash.go", "load_report.go", "settings.go", "validation.go",
}

// decisionFiles returns the names of the source files of the package, without tests.
func decisionFiles(t *testing.T) []string {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// Every file of the package must be listed as policy, except for the interface files.
func TestAllDecisionFilesAreListed(t *testing.T) {
	files := slices.DeleteFunc(decisionFiles(t), func(name string) bool { return slices.Contains(interfaceFiles, name) })
	if listed := slices.Sorted(slices.Values(policyFiles(t))); !slices.Equal(files, listed) {
		t.Errorf("decision files are %v, listed as policy are %v", files, listed)
	}
}

// The lines and functions of every file of the package, including the interface files, must stay within their
// limits.
func TestDecisionsStayReadable(t *testing.T) {
	const widest, longest = 110, 45
	for _, name := range decisionFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) == 0 {
			t.Errorf("%s is empty", name)
		}
		n := 0
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSuffix(line, "\n")
			if n++; utf8.RuneCountInString(line) > widest {
				t.Errorf("%s: line %d is %d characters wide, at most %d are allowed", name, n, utf8.RuneCountInString(line), widest)
			}
		}
		files := token.NewFileSet()
		parsed, err := parser.ParseFile(files, name, text, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declared := range parsed.Decls {
			function, ok := declared.(*ast.FuncDecl)
			if !ok {
				continue
			}
			lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
			if lines > longest {
				t.Errorf("%s: %s has %d lines, at most %d are allowed", name, function.Name.Name, lines, longest)
			}
		}
	}
}
