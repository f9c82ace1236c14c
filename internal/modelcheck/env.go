package modelcheck

import (
	"os"
	"strconv"
)

// EnvInt returns an integer from an environment variable, for longer searches than CI has time for, or a default.
func EnvInt(name string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return value
}
