package entry

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
)

// TestChatTokens guards against charging a chat fewer tokens than an engine
// counts, which would exceed the organisation's rate unnoticed.
func TestChatTokens(t *testing.T) {
	role := "user"
	tests := [][]string{{""}, {"a"}, {"water?", "weekly", "and in winter?"}}
	for _, contents := range tests {
		var bodies []messageBody
		var messages []engsim.Message
		for _, content := range contents {
			raw, err := json.Marshal(content)
			if err != nil {
				t.Fatal(err)
			}
			bodies = append(bodies, messageBody{Role: &role, Content: raw})
			messages = append(messages, engsim.Message{Role: role, Content: content})
		}
		text, refusal := chatText(bodies)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if diff := cmp.Diff(engsim.PromptTokens(engsim.ChatPrompt(messages)), int64(len(text)+3)/4); diff != "" {
			t.Errorf("%q: %s", contents, diff)
		}
	}
}
