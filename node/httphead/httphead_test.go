package httphead

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestCheckStatus(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{100, 103, 199, 200, 204, 304, 421, 500, 599} {
		is.NoErr(checkStatus(status))
	}
	for _, status := range []int{-1, 0, 20, 99, 101, 600, 999} {
		is.True(checkStatus(status) != nil)
	}
}

func TestCheckNames(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkNames(http.Header{"Content-Length": nil, "x_1.~!#$%&'*+^`|": nil}))
	for _, name := range []string{"", " ", "X A", "X ", " X", "X\tA", "X\x00", "X\x7f", "X\r\n", "X:", "X\u00e9", "X\xff"} {
		is.True(checkNames(http.Header{name: nil}) != nil)
	}
}
