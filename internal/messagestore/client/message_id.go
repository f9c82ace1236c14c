package client

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// newMessageID returns a random ID for a message. The ID begins with the partition, so that any process can find the
// message.
func newMessageID(partition int) string {
	return fmt.Sprintf("%x-%016x", partition, rand.Uint64())
}

// PartitionOf returns the partition that a message's ID contains.
func PartitionOf(id string) (int, error) {
	prefix, _, found := strings.Cut(id, "-")
	if !found {
		return 0, fmt.Errorf("message ID %q does not contain a partition", id)
	}
	partition, err := strconv.ParseUint(prefix, 16, 31)
	return int(partition), err
}
