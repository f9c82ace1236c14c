package wal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp" // of a file that SaveFile has not finished

	firstSegment = 1
)

func segmentName(number uint64) string  { return fmt.Sprintf("%s%020d", segmentPrefix, number) }
func snapshotName(number uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, number) }

func parseSegmentName(name string) (uint64, bool)  { return parseName(name, segmentPrefix) }
func parseSnapshotName(name string) (uint64, bool) { return parseName(name, snapshotPrefix) }

// parseName returns the number behind a prefix, and false where the name is another kind of file's.
func parseName(name, prefix string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// numbersOf returns the numbers of those names that a parser knows, in ascending order.
func numbersOf(names []string, parse func(string) (uint64, bool)) []uint64 {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parse(name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
