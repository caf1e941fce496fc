package machines_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/machines"
)

func assertListed(t *testing.T, list *machines.List, sequence uint64, ids ...string) {
	t.Helper()
	is := is.New(t)
	visible := list.Visible()
	is.Equal(visible.Sequence, sequence)
	got := make([]string, 0, len(ids))
	for _, m := range visible.Machines {
		got = append(got, string(m.ID))
	}
	is.Equal(strings.Join(got, " "), strings.Join(ids, " "))
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := machines.NewList()
		list.SetLag(time.Second)
		list.Put(machines.Machine{ID: "vm-2"})
		time.Sleep(time.Second / 2)
		list.Put(machines.Machine{ID: "vm-1"})
		assertListed(t, list, 0)
		time.Sleep(time.Second / 2)
		assertListed(t, list, 1, "vm-2")
		time.Sleep(time.Second / 2)
		assertListed(t, list, 2, "vm-1", "vm-2")
		list.Delete("vm-2")
		assertListed(t, list, 2, "vm-1", "vm-2")
		time.Sleep(time.Second)
		assertListed(t, list, 3, "vm-1")
	})
}

func TestHandler(t *testing.T) {
	list := machines.NewList()
	handler := machines.NewHandler(list, fault.NewInjector())
	put := func(path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
		return w.Code
	}
	t.Run("a machine is listed under the id in the path", func(t *testing.T) {
		is.New(t).Equal(put("/machines/vm-1", `{"zone":"a","role":"agent"}`), http.StatusNoContent)
		assertListed(t, list, 1, "vm-1")
	})
	t.Run("an unknown field is rejected", func(t *testing.T) {
		is.New(t).Equal(put("/machines/vm-2", `{"zoned":"a"}`), http.StatusBadRequest)
		assertListed(t, list, 1, "vm-1")
	})
}
