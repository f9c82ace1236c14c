package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"gotest.tools/v3/golden"
)

const goldenCapture = "testdata/capture"

// recordGolden records the jobs of the golden capture to dir, with fixed clocks.
func recordGolden(t testing.TB, dir string) {
	t.Helper()
	origin := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	f := record(t, dir, func(r *Recorder) {
		r.clockOrigin, r.bootNanos = origin, origin.Add(time.Hour).UnixNano()
		r.wallClock = func() time.Time { return origin.Add(2 * time.Hour) }
	})
	// Job 48 is abandoned with an attempt in flight, job 49 overflows.
	for _, i := range []int{0, 1, 2, 3, 4, 5, 6, 7, 48, 49} {
		f.job(i)
	}
	f.end(t)
}

// dumpCapture returns a capture's schemas and rows as text, with the names of the columns.
func dumpCapture(t testing.TB, dir string) []byte {
	t.Helper()
	set, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	names, _ := filepath.Glob(filepath.Join(dir, "*.parquet"))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		file, err := parquet.OpenFile(bytes.NewReader(data), int64(len(data)))
		if err != nil {
			t.Fatal(err)
		}
		version, _ := file.Lookup("gladepick.version")
		fmt.Fprintf(&out, "gladepick.version %s\n%s\n", version, file.Schema())
	}
	for _, row := range set.Requests {
		dumpRow(&out, "try", row)
	}
	for _, row := range set.Attempts {
		dumpRow(&out, "attempt", row)
	}
	fmt.Fprintf(&out, "%d lost, %d files, %d notes\n", set.DroppedRows, set.Files, len(set.Warnings))
	return out.Bytes()
}

func dumpRow(out *bytes.Buffer, kind string, row any) {
	fmt.Fprint(out, kind)
	v := reflect.ValueOf(row)
	for i := range v.NumField() {
		column, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("parquet"), ",")
		fmt.Fprintf(out, " %s=%v", column, v.Field(i).Interface())
	}
	fmt.Fprintln(out)
}

// TestFileFormatIsUnchanged guards against incompatible changes of the file format. It reads a capture that an earlier
// build wrote, and records the same jobs again: schemas, rows and the manifest's keys must be equal. The Parquet bytes
// contain the library's version and are not compared.
func TestFileFormatIsUnchanged(t *testing.T) {
	if golden.FlagUpdate() {
		os.RemoveAll(goldenCapture)
		if err := os.MkdirAll(goldenCapture, 0o755); err != nil {
			t.Fatal(err)
		}
		recordGolden(t, goldenCapture)
	}
	dir := t.TempDir()
	recordGolden(t, dir)
	golden.AssertBytes(t, dumpCapture(t, goldenCapture), "rows.txt")
	golden.AssertBytes(t, dumpCapture(t, dir), "rows.txt")

	names, _ := filepath.Glob(filepath.Join(goldenCapture, "*"+manifestSuffix))
	if len(names) != 1 {
		t.Fatalf("got manifests %v, want one", names)
	}
	text, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	m, err := readManifest(names[0])
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(again, '\n'), text) {
		t.Errorf("manifest is written as\n%s\nwant\n%s", again, text)
	}
}

// TestRequestSchemaMatchesRowType checks the schema's name in the file, and that its nodes equal those of the row type,
// because only then does the library write rows to columns without a conversion.
func TestRequestSchemaMatchesRowType(t *testing.T) {
	if requestSchema.Name() != "Try" || !parquet.EqualNodes(requestSchema, parquet.SchemaOf(Request{})) {
		t.Errorf("unexpected schema: %s", requestSchema)
	}
}
