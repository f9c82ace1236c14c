//go:build !race

package replication

// modelDisks is the maximum number of disks in a model, including added ones.
const modelDisks = 5

// diskSet is a set of disk numbers.
type diskSet uint8

func (s diskSet) has(disk int) bool        { return s&(1<<disk) != 0 }
func (s diskSet) with(disk int) diskSet    { return s | 1<<disk }
func (s diskSet) without(disk int) diskSet { return s &^ (1 << disk) }
func (s diskSet) union(o diskSet) diskSet  { return s | o }
func (s diskSet) contains(o diskSet) bool  { return o&^s == 0 }
func firstDisks(count int) diskSet         { return 1<<count - 1 }
func diskName(disk int) string             { return string(rune('a' + disk)) }
func (s diskSet) hasName(name string) bool { return s.has(int(name[0] - 'a')) }

func (s diskSet) disks() []int {
	var all []int
	for disk := range modelDisks {
		if s.has(disk) {
			all = append(all, disk)
		}
	}
	return all
}

func (s diskSet) members() []Member {
	var all []Member
	for _, disk := range s.disks() {
		all = append(all, Member{Name: diskName(disk), DiskID: diskName(disk)})
	}
	return all
}
