package client

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// newMessageID returns a random ID for a message. Its first part is the partition, so that any process finds the message.
func newMessageID(partition int) string {
	return fmt.Sprintf("%x-%016x", partition, rand.Uint64())
}

// PartitionOf reads the partition from a message's ID.
func PartitionOf(id string) (int, error) {
	prefix, _, found := strings.Cut(id, "-")
	if !found {
		return 0, fmt.Errorf("message ID %q names no partition", id)
	}
	partition, err := strconv.ParseUint(prefix, 16, 31)
	return int(partition), err
}
