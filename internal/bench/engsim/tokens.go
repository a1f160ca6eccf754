package engsim

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// bytesPerToken is the usual estimate for English text.
	bytesPerToken = 4
	// minNaturalLength and maxNaturalLength are the bounds of the length of an
	// answer that max_tokens does not limit, in tokens.
	minNaturalLength = 8
	maxNaturalLength = 1024
)

// The finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that the messages of a chat form.
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

// answerSeed returns the hash that determines the length and the tokens of an
// answer.
func answerSeed(adapter string, version uint32, prompt string) uint64 {
	return xxh3.HashStringSeed(prompt, xxh3.HashStringSeed(adapter, uint64(version)))
}

// TokenText returns the text of the token at an index of an answer.
func TokenText(adapter string, version uint32, prompt string, index int64) string {
	return seededToken(answerSeed(adapter, version, prompt), index)
}

// seededToken returns the text of the token at an index of the answer with the
// given seed.
func seededToken(seed uint64, index int64) string {
	text := strconv.FormatUint(xxh3.HashStringSeed(strconv.FormatInt(index, 10), seed)&0xffffff, 36)
	return " " + text
}

// AnswerLength returns the number of tokens of an answer and its finish reason.
func AnswerLength(adapter string, version uint32, prompt string, maxTokens int64) (int64, string) {
	natural := minNaturalLength + int64(answerSeed(adapter, version, prompt)>>1)%(maxNaturalLength-minNaturalLength+1)
	if natural <= maxTokens {
		return natural, FinishStop
	}
	return maxTokens, FinishLength
}

// AnswerText returns the text of a complete answer.
func AnswerText(adapter string, version uint32, prompt string, maxTokens int64) string {
	length, _ := AnswerLength(adapter, version, prompt, maxTokens)
	seed := answerSeed(adapter, version, prompt)
	var answer strings.Builder
	for index := range length {
		answer.WriteString(seededToken(seed, index))
	}
	return answer.String()
}
