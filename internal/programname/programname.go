// Package programname keeps the former names of the programs working. The build makes each former name a symbolic
// link to the program; a program that is started by such a link says once which name to use from now on.
package programname

import (
	"fmt"
	"io"
	"path/filepath"
)

// WarnIfFormer writes one line to w if the program was started by its former name. The argument started is the
// program's os.Args[0].
func WarnIfFormer(w io.Writer, started, former, current string) {
	if filepath.Base(started) == former {
		fmt.Fprintf(w, "%s: this program is now called %s; the former name goes on working\n", former, current)
	}
}
