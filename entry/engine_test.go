package entry

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestReadTokensDetectsIncompleteStreams(t *testing.T) {
	token := func(index, text string) string {
		return `data: {"choices":[{"text":"` + text + `","finish_reason":null}],"token_index":` + index + "}\n\n"
	}
	cases := []struct {
		name     string
		stream   string
		complete bool
		text     string
		wantErr  string
	}{
		{"complete", token("0", "a") + token("1", "b") + "data: [DONE]\n\n", true, "ab", ""},
		{"truncated before the end marker", token("0", "a") + token("1", "b"), false, "ab", ""},
		{"duplicate token", token("0", "a") + token("0", "a") + token("1", "b") + "data: [DONE]\n\n", true, "ab", ""},
		{"missing token", token("0", "a") + token("2", "c") + "data: [DONE]\n\n", false, "a", "token 2 came after 1"},
		{"truncated token", token("0", "a") + `data: {"choices":[{"te`, false, "a", "decode token after 1: .*"},
		{"comment lines", ": still here\n\n" + token("0", "a") + "data: [DONE]\n\n", true, "a", ""},
		{"empty", "", false, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			out := newOutput()
			complete, err := readTokens(strings.NewReader(tc.stream), out)
			c.Check(complete, qt.Equals, tc.complete)
			c.Check(strings.Join(out.from(0).chunks, ""), qt.Equals, tc.text)
			if tc.wantErr == "" {
				c.Check(err, qt.IsNil)
				return
			}
			c.Check(err, qt.ErrorMatches, tc.wantErr)
		})
	}
}

func FuzzReadTokens(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\"a\"}],\"token_index\":0}\n\ndata: [DONE]\n\n")
	f.Add("data: {\"choices\":[],\"token_index\":-1}\n\n")
	f.Add("data: {\"choices\":[{\"text\":\"a\"}],\"token_index\":-5}\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		complete, _ := readTokens(strings.NewReader(stream), newOutput())
		if complete && !strings.Contains(stream, "[DONE]") {
			t.Fatalf("stream %q was accepted as complete without its end marker", stream)
		}
	})
}
