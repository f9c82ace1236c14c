package testenv

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gladepick/internal/dispatcher/config"
)

// Settings are the settings of a small deployment in the platform's JSON form.
const Settings = `{"balancers":1,"classes":[
 {"aim":150000000,"deadline":5000000000,"effect":"free","group":"all","late_value":0.2,"name":"seat-check","value":2.0,"window":5000000000},
 {"aim":150000000,"deadline":5000000000,"effect":"guarded","group":"all","late_value":0.2,"name":"enrol","value":8.0,"window":7500000000}],
 "discovery":"subscribe","invariants":{"ask_within":10000000000,"cold_from":0.3,"drain_grace":500000000,"fall":1000000000,
 "fall_multiple":3.0,"grace_to_answer":8000000,"warm_after":8900000000},"kinds":["fast-3c","std-2c"],
 "limits":{"cancelling":true,"conn_idle":5000000000,"connect_timeout":250000000,"max_attempts":3,"max_retry_after":2000000000},
 "report":{"fields":["x0","fail_rate","rate","q"],"how":"piggyback"},"round":2000000,
 "specifics":{"class_kind":[-1,-1],"class_stretch":[1.75,2.5],"progress":1000000000,"tells_start":true,"memory_unit":"a, b"},
 "tenants":[{"allowance_per_s":32.0,"name":"univ-laurentie","portion":0.6},{"allowance_per_s":17.0,"name":"univ-gaspesie","portion":0.4}],
 "zone":0,"zones":["montreal","sherbrooke"]}`

// Node returns the configuration of a node that knows some workers, as config loads it from files. more is the text of
// an operator's AMQP file; empty: the node has none.
func Node(t testing.TB, known []config.Worker, more string) *config.Node {
	t.Helper()
	list, _ := json.Marshal(config.WorkerList{Generation: 7, Reset: true, Workers: known})
	dir := t.TempDir()
	env := map[string]string{"NODE_NAME": "n0", "NODE_LISTEN": "127.0.0.1:5000", "NODE_DISCOVERY": "127.0.0.1:8500",
		"NODE_CONFIG": filepath.Join(dir, "node.json")}
	text := fmt.Sprintf(`{"seed":"5eed","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, list, Settings)
	files := map[string]string{env["NODE_CONFIG"]: text}
	if more != "" {
		env["NODE_AMQP"] = filepath.Join(dir, "amqp.toml")
		files[env["NODE_AMQP"]] = more
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	n, err := config.Load(func(key string) string { return env[key] })
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Worker returns an entry for the list of workers.
func Worker(name, address, state string) config.Worker {
	return config.Worker{ID: name, Address: address, Zone: "montreal", Kind: "std-2c", State: state, Weight: 1}
}
