package discovery

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gladepick/internal/dispatcher/config"
)

func TestCompleteEntriesOfATruncatedList(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       string // the workers' names
	}{
		{"nothing", ``, ""},
		{"no entries yet", `{"generation":3,"insta`, ""},
		{"cut in the first", `{"instances":[{"instanceId":"a","lifec`, ""},
		{"cut in the second", `{"generation":3,"reset":true,"instances":[{"instanceId":"a"},{"instanceId":"b`, "a"},
		{"cut behind the list", `{"instances":[{"instanceId":"a"},{"instanceId":"b"}],"gen`, "a b"},
		{"an entry without a name ends it", `{"instances":[{"instanceId":"a"},{"zone":"z"},{"instanceId":"c"}`, "a"},
		{"an entry of other types ends it", `{"instances":[{"instanceId":"a"},{"instanceId":7},{"instanceId":"c"}`, "a"},
		{"no object", `[1,2`, ""},
	} {
		var names []string
		for _, w := range completeEntries([]byte(tc.text)) {
			names = append(names, w.ID)
		}
		if got := strings.Join(names, " "); got != tc.want {
			t.Errorf("%s: complete entries %q, want %q", tc.name, got, tc.want)
		}
	}
}

func TestListsOfOtherDeploymentsAreForeign(t *testing.T) {
	ours := config.Worker{Zone: "z1", Kind: "k1", State: "ready"}
	other := config.Worker{Zone: "z9", Kind: "k1", State: "ready"}
	gone := config.Worker{State: "gone"}
	all := &config.Node{Zones: []string{"z1", "z2"}, Kinds: []string{"k1"}}
	for _, tc := range []struct {
		name    string
		node    *config.Node
		workers []config.Worker
		foreign bool
	}{
		{"an empty list", all, nil, false},
		{"one of ours", all, []config.Worker{other, ours}, false},
		{"one that is gone", all, []config.Worker{other, gone}, false},
		{"none of ours", all, []config.Worker{other, other}, true},
		{"settings without zones", &config.Node{Kinds: []string{"k1"}}, []config.Worker{other}, false},
		{"settings without kinds", &config.Node{Zones: []string{"z1"}}, []config.Worker{other}, false},
	} {
		if foreign := (&Watcher{node: tc.node}).isForeign(tc.workers); foreign != tc.foreign {
			t.Errorf("%s: isForeign = %v, want %v", tc.name, foreign, tc.foreign)
		}
	}
}

func TestLimitedReaderBoundsEachObject(t *testing.T) {
	reads := 0
	r := &limitedReader{Reader: strings.NewReader("\n \n12345\n\n67890x"), limit: 6, onData: func() { reads++ }}
	read := func(n int) (string, error) {
		p := make([]byte, n)
		m, err := io.ReadFull(r, p)
		return string(p[:m]), err
	}
	r.nextObject()
	if text, err := read(3); text != "\n \n" || err != nil || r.remaining != 6 {
		t.Errorf("blank lines: %q, %v, %d bytes left", text, err, r.remaining)
	}
	if text, err := read(6); text != "12345\n" || err != nil || r.remaining != 0 {
		t.Errorf("an object: %q, %v, %d bytes left", text, err, r.remaining)
	}
	if _, err := read(1); !errors.Is(err, errListTooLarge) {
		t.Errorf("beyond the limit: %v", err)
	}
	r.nextObject()
	if text, err := read(6); text != "\n67890" || err != nil {
		t.Errorf("the next object: %q, %v", text, err)
	}
	if reads != 3 {
		t.Errorf("onData was called %d times, want 3", reads)
	}
}
