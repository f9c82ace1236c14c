package architecture_test

import (
	"fmt"
	"go/ast"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	markdownLink    = regexp.MustCompile(`\]\(([^()\s]+)\)`)
	markdownHeading = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	notInAnchor     = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

// anchorOf returns the anchor that common Markdown renderers generate for a heading.
func anchorOf(heading string) string {
	text := notInAnchor.ReplaceAllString(strings.ToLower(strings.TrimSpace(heading)), "")
	return strings.ReplaceAll(text, " ", "-")
}

// markdownPages returns the Markdown files at the root of the module and below docs and deploy.
func markdownPages(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob(filepath.Join(moduleRoot, "*.md"))
	assert.NilError(t, err)
	for _, folder := range []string{"docs", "deploy"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, folder), func(name string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && strings.HasSuffix(name, ".md") {
				pages = append(pages, name)
			}
			return err
		})
		assert.NilError(t, err)
	}
	return pages
}

// TestPagesHaveNoBrokenLinks checks that every relative link of a page leads to an existing file and, if it has an
// anchor, to a heading in that file.
func TestPagesHaveNoBrokenLinks(t *testing.T) {
	var problems []string
	for _, page := range markdownPages(t) {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range markdownLink.FindAllStringSubmatch(string(text), -1) {
			if problem := linkProblem(page, match[1]); problem != "" {
				problems = append(problems, fmt.Sprintf("%s: %s: %s", page, match[1], problem))
			}
		}
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

// linkProblem returns what is wrong with a link of a page, or an empty string.
func linkProblem(page, link string) string {
	parsed, err := url.Parse(link)
	if err != nil {
		return err.Error()
	}
	if parsed.Scheme != "" {
		return ""
	}
	target := page
	if parsed.Path != "" {
		target = filepath.Join(filepath.Dir(page), filepath.FromSlash(parsed.Path))
	}
	text, err := os.ReadFile(target)
	if info, statErr := os.Stat(target); statErr == nil && info.IsDir() {
		return ""
	}
	if err != nil {
		return "no such file"
	}
	if parsed.Fragment == "" {
		return ""
	}
	for _, heading := range markdownHeading.FindAllStringSubmatch(string(text), -1) {
		if anchorOf(heading[1]) == parsed.Fragment {
			return ""
		}
	}
	return "no such heading"
}

var (
	testInPage = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	fileInPage = regexp.MustCompile("`([a-z][a-z0-9_/]*/[a-z0-9_]+\\.go)`")
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
)

// incidentsFolder has reports of past incidents. They use the file and test names of their time, so they are not
// checked.
const incidentsFolder = "incidents"

// TestPagesNameTestsAndFilesThatExist checks that each test and each source file that a page names exists. Pages name
// files by the path from the root of the module or from internal.
func TestPagesNameTestsAndFilesThatExist(t *testing.T) {
	existing := existingTests(t)
	var problems []string
	for _, page := range markdownPages(t) {
		if filepath.Base(filepath.Dir(page)) == incidentsFolder {
			continue
		}
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range testInPage.FindAllStringSubmatch(string(text), -1) {
			if !existing[match[1]] {
				problems = append(problems, fmt.Sprintf("%s: there is no %s", page, match[1]))
			}
		}
		for _, match := range fileInPage.FindAllStringSubmatch(string(text), -1) {
			if !sourceExists(match[1]) {
				problems = append(problems, fmt.Sprintf("%s: there is no %s", page, match[1]))
			}
		}
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

func sourceExists(name string) bool {
	for _, base := range []string{moduleRoot, filepath.Join(moduleRoot, "internal")} {
		if _, err := os.Stat(filepath.Join(base, filepath.FromSlash(name))); err == nil {
			return true
		}
	}
	return false
}

// existingTests returns the names of all tests, benchmarks and fuzz targets of the module.
func existingTests(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(moduleRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		text, err := os.ReadFile(name)
		for _, match := range testFunc.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	return names
}

var (
	// flowStep matches a row of the tables that trace a message and a configuration change through the code: its last two
	// columns list packages and functions.
	flowStep      = regexp.MustCompile(`(?m)^\| \d+\. .* \| (.+) \| (.+) \|$`)
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	declaredFuncs = regexp.MustCompile(`(?m)^func (?:\(\w+ \*?(\w+)(?:\[[^\]]*\])?\) )?(\w+)[(\[]`)
)

// TestFlowTablesNameFunctionsThatExist checks the tables of the architecture page that trace a message and a
// configuration change through the code: one of the packages of a step must declare each function of that step.
func TestFlowTablesNameFunctionsThatExist(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, architecturePage))
	assert.NilError(t, err)
	steps := flowStep.FindAllStringSubmatch(string(text), -1)
	assert.Assert(t, len(steps) > 10, "the page has only %d steps", len(steps))
	var problems []string
	for _, step := range steps {
		declared := map[string]bool{}
		for _, folder := range codeSpan.FindAllStringSubmatch(step[1], -1) {
			addDeclaredFunctions(t, filepath.Join(moduleRoot, filepath.FromSlash(folder[1])), declared)
		}
		for _, function := range codeSpan.FindAllStringSubmatch(step[2], -1) {
			if !declared[function[1]] {
				problems = append(problems, fmt.Sprintf("%s is not declared in %s", function[1], step[1]))
			}
		}
	}
	assert.Equal(t, strings.Join(problems, "\n"), "")
}

// addDeclaredFunctions adds the functions and methods (as "Type.Method") that the non-test files of a folder declare.
func addDeclaredFunctions(t *testing.T, folder string, declared map[string]bool) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	assert.NilError(t, err)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		assert.NilError(t, err)
		for _, match := range declaredFuncs.FindAllStringSubmatch(string(text), -1) {
			qualified := match[2]
			if match[1] != "" {
				qualified = match[1] + "." + match[2]
			}
			declared[qualified] = true
		}
	}
}

// identifier matches a Go identifier.
var identifier = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)

// goNameColumn is the index of the column with the Go names in the glossary's tables.
const goNameColumn = 3

// TestGlossaryNamesExist checks that each Go name in the glossary occurs in the code.
func TestGlossaryNamesExist(t *testing.T) {
	known := map[string]bool{}
	for _, file := range parseModule(t) {
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			if name, ok := node.(*ast.Ident); ok {
				known[name.Name] = true
			}
			return true
		})
	}
	text, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "glossary.md"))
	assert.NilError(t, err)
	var problems []string
	rows := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 { // a row of five columns, with an empty cell at each end
			continue
		}
		rows++
		for _, match := range codeSpan.FindAllStringSubmatch(cells[goNameColumn], -1) {
			parts := identifier.FindAllString(match[1], -1)
			if len(parts) == 0 || !known[parts[len(parts)-1]] {
				problems = append(problems, fmt.Sprintf("the code does not contain %s", match[1]))
			}
		}
	}
	assert.Assert(t, rows > 50, "the glossary has only %d rows", rows)
	assert.Equal(t, strings.Join(problems, "\n"), "")
}
