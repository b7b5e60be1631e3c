package strictjson_test

import (
	"encoding/json"
	"testing"

	"oleanderramp/internal/strictjson"
	"oleanderramp/pkg/finding"
)

type item struct {
	Name  string   `json:"name"`
	Count uint8    `json:"count,omitempty"`
	Rate  float64  `json:"rate"`
	Tags  []string `json:"tags"`
	Next  *item    `json:"next"`
	Items []item   `json:"items"`
}

// FuzzDecode checks that a document decoded without findings gives the same
// value as encoding/json.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a\u00e9","count":255,"rate":-1.5e3,"tags":["x"],"next":{"items":[{},{"next":null}]}}`))
	f.Add([]byte(`{"name":null,"Name":"x","count":256,"count":1,"tags":{"a":[[1],{}]},"next":[]} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want item
		var list finding.List
		strictjson.Decode(data, &got, 1<<16, &list)
		if list.Len() > 0 {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("accepted, but %v", err)
		}
		again, wantAgain := marshal(t, got), marshal(t, want)
		if again != wantAgain {
			t.Fatalf("got %s, want %s", again, wantAgain)
		}
	})
}

func marshal(t *testing.T, value item) string {
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
