package discovery

import (
	"strings"
	"testing"
)

const entry = `{"host":"s-1","dial":"127.0.0.1:9","health":"up","share":1,"born_ms":0,"image_id":1}`

func TestParsePage(t *testing.T) {
	for _, c := range []struct {
		text      string
		endpoints int // number of endpoints; -1 if the page is rejected
	}{
		{`{"seq":3,"whole":true,"hosts":[` + entry + `]}`, 1}, {`{"seq":0,"hosts":[]}`, 0},
		{"{\n  \"seq\": 3,\r\n\t\"hosts\" : [\n    " + strings.ReplaceAll(entry, ",", " ,\n  ") + "\n  ]\n}\n", 1},
		{`{"hosts":[]}`, -1}, {`{"seq":3}`, -1}, {`{"seq":"x","hosts":[]}`, -1}, {`{`, -1}, {``, -1}, {`[]`, -1},
		{`{"seq":3,"hosts":[` + strings.Replace(entry, "up", "asleep", 1) + `]}`, -1},
		{`{"seq":3,"hosts":[` + strings.Replace(entry, "s-1", "", 1) + `]}`, -1},
		{`{"seq":3,"hosts":[` + strings.Replace(entry, `"born_ms":0`, `"born_ms":-1`, 1) + `]}`, -1},
		{`{"seq":3,"hosts":[` + strings.Replace(entry, `"image_id":1`, `"image_id":65536`, 1) + `]}`, -1},
	} {
		page, err := ParsePage([]byte(c.text))
		if (err != nil) != (c.endpoints < 0) || err == nil && len(page.Endpoints) != c.endpoints {
			t.Errorf("%s: got %d endpoints, error %v", c.text, len(page.Endpoints), err)
		}
	}
}

func FuzzParsePage(f *testing.F) {
	f.Add([]byte(`{"seq":3,"whole":true,"hosts":[` + entry + `]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		page, err := ParsePage(text)
		for _, endpoint := range page.Endpoints {
			if err != nil || !endpoint.Valid() {
				t.Errorf("got the endpoint %+v, error %v", endpoint, err)
			}
		}
	})
}
