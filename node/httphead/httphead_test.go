package httphead

import (
	"testing"

	"github.com/matryer/is"
)

func TestCheckStatus(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{100, 103, 199, 200, 204, 304, 421, 500, 599} {
		is.NoErr(CheckStatus(status))
	}
	for _, status := range []int{-1, 0, 20, 99, 101, 600, 999} {
		is.True(CheckStatus(status) != nil)
	}
}
