package transport

import (
	"encoding/json"
	"log/slog"
	"os"
	"time"
)

// EventLog writes events to a file in order, each as a line of JSON. A nil EventLog discards them.
type EventLog struct{ file *os.File }

// OpenEventLog opens a file for appending and creates it if it does not exist.
func OpenEventLog(path string) (*EventLog, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &EventLog{f}, nil
}

// Write adds the key "at", the time in Unix nanoseconds, to an event and appends it to the file. A failed write closes
// the log, and later events are discarded.
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
		slog.Error("event log closed after a failed write", "file", l.file.Name(), "error", err)
		l.file.Close()
		l.file = nil
	}
}
