package instance

import (
	"log"
	"os"
	"strings"

	"gladepick/internal/dispatcher/config"
)

// serveReloads reads the settings again on each signal, to the process's last moment: what has been taken is still sent
// as the list of workers says, also while the dispatcher leaves.
func (i *instance) serveReloads(signals <-chan os.Signal) {
	for range signals {
		i.reload()
	}
}

// reload reads the settings again and carries over what may change while jobs are open: the address of discovery.
func (i *instance) reload() {
	later, err := config.Reload(os.Getenv)
	if err != nil {
		log.Printf("reload: the old settings stay: %v", err)
		return
	}
	if i.node.SharesNoClass(later) { // its discovery would know none of the workers that jobs are at
		log.Printf("reload: the old settings stay: NODE_CONFIG: %s: key settings.classes: none of %s is a class of this dispatcher",
			os.Getenv("NODE_CONFIG"), strings.Join(later.Classes, ", "))
		return
	}
	if keys := i.node.ChangedKeys(later); len(keys) > 0 {
		log.Printf("reload: a change of %s holds from the next start on", strings.Join(keys, ", "))
	}
	i.watcher.SetAddress(later.Discovery)
	log.Printf("reload: discovery is at %s", later.Discovery)
}
