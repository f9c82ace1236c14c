// Package programname supports the former names of renamed programs. The build makes each former name a symbolic link
// to the program. A program that is started through such a link writes once which name to use instead.
package programname

import (
	"fmt"
	"io"
	"path/filepath"
)

// WarnIfFormer writes a one-line warning to w if the program was started by its former name. started is the program's
// os.Args[0], former its old name and current its new one.
func WarnIfFormer(w io.Writer, started, former, current string) {
	if filepath.Base(started) == former {
		fmt.Fprintf(w, "%s: this program is now called %s; the former name goes on working\n", former, current)
	}
}
