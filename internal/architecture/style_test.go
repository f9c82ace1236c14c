package architecture_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// generatedSuffix is the suffix of generated files, which the style rules do not cover.
const generatedSuffix = ".pb.go"

// importGroup is the group of an import. In an import block, the groups are in the order of these constants.
type importGroup int

const (
	groupStandard importGroup = iota
	groupLibrary
	groupModule
)

func groupOf(path string) importGroup {
	first, _, _ := strings.Cut(path, "/")
	switch {
	case first == moduleName:
		return groupModule
	case strings.Contains(first, "."):
		return groupLibrary
	}
	return groupStandard
}

// goFile is one parsed Go file of the module.
type goFile struct {
	name   string // relative to the module's root
	files  *token.FileSet
	syntax *ast.File
}

func (f *goFile) place(position token.Pos) string {
	return fmt.Sprintf("%s:%d", f.name, f.files.Position(position).Line)
}

// parseModule parses all Go files of the module that are not generated.
func parseModule(t *testing.T) []*goFile {
	t.Helper()
	var parsed []*goFile
	err := filepath.WalkDir(moduleRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && name != moduleRoot && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, generatedSuffix) {
			return nil
		}
		files := token.NewFileSet()
		syntax, err := parser.ParseFile(files, name, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, name)
		parsed = append(parsed, &goFile{name: filepath.ToSlash(relative), files: files, syntax: syntax})
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(parsed) > 0)
	return parsed
}

// TestImportsAreGrouped checks that imports are in the order standard library, other libraries, this module, and that
// blank lines separate these groups.
func TestImportsAreGrouped(t *testing.T) {
	var problems []string
	for _, file := range parseModule(t) {
		problems = append(problems, ungroupedImports(t, file)...)
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

func ungroupedImports(t *testing.T, file *goFile) []string {
	t.Helper()
	var problems []string
	previousLine, previousGroup := 0, groupStandard
	for i, spec := range file.syntax.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		line, group := file.files.Position(spec.Pos()).Line, groupOf(path)
		switch {
		case i == 0:
		case group < previousGroup:
			problems = append(problems, fmt.Sprintf("%s: %s belongs in an earlier group", file.place(spec.Pos()), path))
		case group > previousGroup && line == previousLine+1:
			problems = append(problems, fmt.Sprintf("%s: a blank line is missing before %s", file.place(spec.Pos()), path))
		}
		previousLine, previousGroup = line, group
	}
	return problems
}

// TestExportedNamesHaveDocComments finds packages and exported names without a doc comment, except in test files. The
// constants or variables of a group may share a comment.
func TestExportedNamesHaveDocComments(t *testing.T) {
	var problems []string
	packageComments := map[string]bool{}
	for _, file := range parseModule(t) {
		if strings.HasSuffix(file.name, "_test.go") {
			continue
		}
		folder := filepath.ToSlash(filepath.Dir(file.name))
		packageComments[folder] = packageComments[folder] || file.syntax.Doc != nil
		for _, declaration := range file.syntax.Decls {
			problems = append(problems, undocumented(file, declaration)...)
		}
	}
	for folder, commented := range packageComments {
		if !commented {
			problems = append(problems, folder+": the package has no comment")
		}
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

func undocumented(file *goFile, declaration ast.Decl) []string {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Doc == nil && declaration.Name.IsExported() && receiverIsExported(declaration) {
			return []string{fmt.Sprintf("%s: %s has no doc comment", file.place(declaration.Pos()), declaration.Name.Name)}
		}
	case *ast.GenDecl:
		if declaration.Doc == nil {
			return undocumentedSpecs(file, declaration)
		}
	}
	return nil
}

// receiverIsExported reports whether a function has no receiver or a receiver of an exported type.
func receiverIsExported(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	receiver := function.Recv.List[0].Type
	for {
		switch typed := receiver.(type) {
		case *ast.StarExpr:
			receiver = typed.X
		case *ast.IndexExpr:
			receiver = typed.X
		case *ast.IndexListExpr:
			receiver = typed.X
		case *ast.Ident:
			return typed.IsExported()
		default:
			return false
		}
	}
}

func undocumentedSpecs(file *goFile, declaration *ast.GenDecl) []string {
	var problems []string
	report := func(name *ast.Ident) {
		problems = append(problems, fmt.Sprintf("%s: %s has no doc comment", file.place(name.Pos()), name.Name))
	}
	for _, spec := range declaration.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Doc == nil && spec.Name.IsExported() {
				report(spec.Name)
			}
		case *ast.ValueSpec:
			for _, name := range spec.Names {
				if spec.Doc == nil && spec.Comment == nil && name.IsExported() {
					report(name)
				}
			}
		}
	}
	return problems
}
