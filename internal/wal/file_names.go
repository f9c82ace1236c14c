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
	temporarySuffix = ".tmp" // suffix of a file that SaveFile has not renamed yet

	firstSegmentNumber = 1
)

func segmentName(number uint64) string  { return fmt.Sprintf("%s%020d", segmentPrefix, number) }
func snapshotName(number uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, number) }

func parseSegmentName(name string) (uint64, bool)  { return parseNumberedName(name, segmentPrefix) }
func parseSnapshotName(name string) (uint64, bool) { return parseNumberedName(name, snapshotPrefix) }

// parseNumberedName returns the number that follows a prefix in a file name. It returns false if the name lacks the
// prefix or the number.
func parseNumberedName(name, prefix string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// sortedNumbers returns, in ascending order, the numbers of the file names that parse accepts.
func sortedNumbers(names []string, parse func(string) (uint64, bool)) []uint64 {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parse(name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
