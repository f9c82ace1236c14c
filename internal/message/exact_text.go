package message

import "unicode/utf8"

// ExactText has the bytes of those texts of a message that are not valid UTF-8. JSON strings can't hold them: the encoding
// replaces each such byte.
type ExactText struct {
	Target      []byte `json:"target,omitempty"`
	RequestID   []byte `json:"requestId,omitempty"`
	OrderKey    []byte `json:"orderKey,omitempty"`
	ContentType []byte `json:"contentType,omitempty"`
}

// KeepExactText sets Exact if a text is not valid UTF-8. It must be called before a client's message is encoded.
func (m *Message) KeepExactText() {
	exact := ExactText{
		Target: invalidText(m.Target), RequestID: invalidText(m.RequestID), OrderKey: invalidText(m.OrderKey),
		ContentType: invalidText(m.ContentType),
	}
	if exact.Target != nil || exact.RequestID != nil || exact.OrderKey != nil || exact.ContentType != nil {
		m.Exact = &exact
	}
}

// invalidText returns the bytes of a text that is not valid UTF-8, and nil for any other text.
func invalidText(text string) []byte {
	if utf8.ValidString(text) {
		return nil
	}
	return []byte(text)
}

// RestoreExactText replaces the texts that Exact has the bytes of. It must be called after a message was decoded.
func (m *Message) RestoreExactText() {
	if m.Exact == nil {
		return
	}
	restoreText(&m.Target, m.Exact.Target)
	restoreText(&m.RequestID, m.Exact.RequestID)
	restoreText(&m.OrderKey, m.Exact.OrderKey)
	restoreText(&m.ContentType, m.Exact.ContentType)
}

func restoreText(text *string, exact []byte) {
	if exact != nil {
		*text = string(exact)
	}
}
