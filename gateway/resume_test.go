package gateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

func TestErrorAnswerStaysOutOfBegunStream(t *testing.T) {
	broken := scriptedAnswer{events: []string{"1", "2"}, broken: true}
	rest := scriptedAnswer{events: []string{"3"}}
	for _, status := range []int{
		http.StatusInternalServerError, http.StatusNotFound, http.StatusTooManyRequests, http.StatusNoContent, http.StatusFound,
	} {
		failed := scriptedAnswer{status: status, body: "error text"}
		name := http.StatusText(status)
		inBubble(name+" in place of the rest ends the stream as incomplete", t, func(t *testing.T) {
			d, _ := streamDeployment(broken, failed)
			answer, err := d.serve(t)
			assertIncomplete(t, answer, err, "1 2 ")
		})
		inBubble(name+" is followed by one more attempt if the route allows it", t, func(t *testing.T) {
			d, x := streamDeployment(broken, failed, rest)
			d.route.MaxAttempts = 3
			answer, err := d.serve(t)
			assertAnswered(t, answer, err, "1 2 3 ")
			is.New(t).Equal(len(x.attempts()), 3)
		})
	}
	inBubble("a stream that has not begun passes an error on", t, func(t *testing.T) {
		d, _ := streamDeployment(scriptedAnswer{status: http.StatusNotFound, body: "error text"})
		answer, err := d.serve(t)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(answer.heads, []int{http.StatusNotFound})
		is.Equal(answer.body.String(), "error text")
	})
	inBubble("a caller that resumes its own stream gets the error", t, func(t *testing.T) {
		d, _ := streamDeployment(scriptedAnswer{status: http.StatusNotFound, body: "error text"})
		answer, err := d.serve(t, func(c *knapweedpulley.Call) { c.LastEvent = "2" })
		is := is.New(t)
		is.NoErr(err)
		is.Equal(answer.heads, []int{http.StatusNotFound})
	})
}
