package pipe_test

import (
	"fmt"
	"net/http"
	"testing"

	"cardamompass/internal/edge/pipe"
)

// Guards against a first response that waits for ever for its own turn, because there is no memory to hold it.
func TestFirstResponseWithoutMemory(t *testing.T) {
	const length = 3 << 20
	sit := newSizedSite(t, pipe.Config{
		Memory: 1 << 20,
	})
	cal := sit.dial()
	cal.send(get(fmt.Sprintf("/read/slow-0?%d", length)) + get("/read/1?1"))
	sit.expect(sit.begun, "/read/1")
	sit.release("/read/slow-0")
	for _, want := range []int{length, 1} {
		if status, body, _ := cal.answer(); status != http.StatusOK || len(body) != want {
			t.Fatalf("status %d, %d bytes of %d", status, len(body), want)
		}
	}
}
