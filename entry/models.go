package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry describes a model or an adapter that a caller can use.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models answers GET /v1/models.
func (f *frontEnd) models(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.authenticate(r)
	if refusal != nil {
		f.refuse(w, "", refusal)
		return
	}
	web.WriteJSON(w, http.StatusOK, newModelList(c.customer))
}

func newModelList(c *customer.Customer) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	add := func(id string) {
		list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: string(c.ID)})
	}
	for id := range c.Models {
		add(string(id))
	}
	for id := range c.Adapters {
		add(string(id))
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	return list
}
