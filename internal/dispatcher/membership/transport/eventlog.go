package transport

import (
	"encoding/json"
	"log/slog"
	"os"
	"time"
)

// EventLog is a file with a JSON line for each event, in order. A nil one drops what is written to it.
type EventLog struct{ file *os.File }

// OpenEventLog opens a file to append to it, and creates it where there is none.
func OpenEventLog(path string) (*EventLog, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &EventLog{f}, nil
}

// Write appends a line with the time, "at", in Unix nanoseconds. After a line that cannot be written, the log is closed.
func (l *EventLog) Write(line map[string]any) {
	if l == nil || l.file == nil {
		return
	}
	line["at"] = time.Now().UnixNano()
	text, err := json.Marshal(line)
	if err == nil {
		_, err = l.file.Write(append(text, '\n'))
	}
	if err != nil {
		slog.Error("a record ends here", "file", l.file.Name(), "error", err)
		l.file.Close()
		l.file = nil
	}
}
