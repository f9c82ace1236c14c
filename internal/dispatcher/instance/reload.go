package instance

import (
	"log"
	"os"
	"strings"

	"gladepick/internal/dispatcher/config"
)

// serveReloads reloads the settings on each signal until the process ends. It also runs during the shutdown: jobs that
// were accepted are still sent to workers then, and that needs the current list of workers from discovery.
func (i *instance) serveReloads(signals <-chan os.Signal) {
	for range signals {
		i.reload()
	}
}

// reload reads the settings again and applies the only one that may change while jobs are open: the address of
// discovery.
func (i *instance) reload() {
	reloaded, err := config.Reload(os.Getenv)
	if err != nil {
		log.Printf("reload: the old settings stay: %v", err)
		return
	}
	if i.node.SharesNoClass(reloaded) { // the new discovery would know none of the workers that have open jobs
		log.Printf("reload: the old settings stay: NODE_CONFIG: %s: key settings.classes: none of %s is a class of this dispatcher",
			os.Getenv("NODE_CONFIG"), strings.Join(reloaded.Classes, ", "))
		return
	}
	if keys := i.node.ChangedKeys(reloaded); len(keys) > 0 {
		log.Printf("reload: a change of %s takes effect at the next start", strings.Join(keys, ", "))
	}
	i.watcher.SetAddress(reloaded.Discovery)
	log.Printf("reload: discovery is at %s", reloaded.Discovery)
}
