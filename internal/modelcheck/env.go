package modelcheck

import (
	"os"
	"strconv"
)

// EnvInt returns the integer in an environment variable, or fallback if the variable is unset or not an integer. Tests
// use it to set the bounds of a search, so that a search that would take too long in CI can be run by hand.
func EnvInt(name string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return value
}
