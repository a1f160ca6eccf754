package engsim

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// bytesPerToken is the usual estimate for English text.
	bytesPerToken = 4
	// shortestAnswer and longestAnswer bound the natural length of answers.
	shortestAnswer = 8
	longestAnswer  = 1024
)

// The reasons for the end of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt to which a chat amounts.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int64 {
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}

// seed returns the hash on which an answer depends.
func seed(adapter string, version uint32, prompt string) uint64 {
	return xxh3.HashStringSeed(prompt, xxh3.HashStringSeed(adapter, uint64(version)))
}

// TokenText returns the text of the token at an index of an answer.
func TokenText(adapter string, version uint32, prompt string, index int64) string {
	return token(seed(adapter, version, prompt), index)
}

// token returns the text of a token of the answer with the given hash.
func token(seed uint64, index int64) string {
	text := strconv.FormatUint(xxh3.HashStringSeed(strconv.FormatInt(index, 10), seed)&0xffffff, 36)
	return " " + text
}

// AnswerLength returns the number of tokens of an answer and the reason for its
// end.
func AnswerLength(adapter string, version uint32, prompt string, maxTokens int64) (int64, string) {
	natural := shortestAnswer + int64(seed(adapter, version, prompt)>>1)%(longestAnswer-shortestAnswer+1)
	if natural <= maxTokens {
		return natural, FinishStop
	}
	return maxTokens, FinishLength
}

// AnswerText returns the text of a complete answer.
func AnswerText(adapter string, version uint32, prompt string, maxTokens int64) string {
	length, _ := AnswerLength(adapter, version, prompt, maxTokens)
	hash := seed(adapter, version, prompt)
	var answer strings.Builder
	for index := range length {
		answer.WriteString(token(hash, index))
	}
	return answer.String()
}
