package messagestore

import (
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestUnknownMessageIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		for _, id := range []string{"0-12", "ff-12", "nonsense"} {
			_, err := h.state(id)
			assert.Assert(t, errors.Is(err, message.ErrNotFound), id)
		}
	})
}
