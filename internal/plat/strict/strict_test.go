package strict_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"cardamompass/internal/plat/strict"
)

// Guards against accepting a malformed head that net/http accepts, and against rejecting one that is unusual but valid.
func TestCheckResponse(t *testing.T) {
	tests := []struct {
		name  string
		head  string
		valid bool
	}{
		{name: "lowest status", head: "HTTP/1.1 100 Continue\r\n", valid: true},
		{name: "highest status", head: "HTTP/1.1 599 High\r\n", valid: true},
		{name: "status without a reason", head: "HTTP/1.1 299\r\n", valid: true},
		{name: "status 000", head: "HTTP/1.1 000 None\r\n"},
		{name: "status below 100", head: "HTTP/1.1 099 Low\r\n"},
		{name: "status with a sign", head: "HTTP/1.1 +99 Low\r\n"},
		{name: "status above 599", head: "HTTP/1.1 600 High\r\n"},
		{name: "all characters of a token", head: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n", valid: true},
		{name: "blanks around a value", head: "HTTP/1.1 200 OK\r\nX-A: \t x y \t\r\n", valid: true},
		{name: "empty value", head: "HTTP/1.1 200 OK\r\nX-A:\r\n", valid: true},
		{name: "blank within a name", head: "HTTP/1.1 200 OK\r\nX A: x\r\n"},
		{name: "blank behind a name", head: "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rsp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tst.head+"\r\n")), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Body.Close()
			if err = strict.CheckResponse(rsp); (err == nil) != tst.valid {
				t.Errorf("error %v", err)
			}
		})
	}
}
