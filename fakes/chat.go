package fakes

import (
	"encoding/json"
)

// completion is an answer, or a chunk of a streamed answer, in the format of the
// chat-completions API.
type completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (c completionCall) usage() *usage {
	return &usage{PromptTokens: c.PromptTokens, CompletionTokens: c.AnswerTokens}
}

func newCompletion(call completionCall, text string) completion {
	return completion{
		Object: "chat.completion", Model: call.Model, Usage: call.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: "stop"}},
	}
}

func newChunk(call completionCall, text string, last bool) completion {
	c := completion{Object: "chat.completion.chunk", Model: call.Model, Choices: []choice{{Delta: &message{Content: text}}}}
	if last {
		c.Choices[0].FinishReason = "stop"
		c.Usage = call.usage()
	}
	return c
}

var vocabulary = []string{"the", "room", "is", "free", "on", "friday", "and", "we", "hold", "it", "for", "you"}

func generateWords(n int) []string {
	generated := make([]string, n)
	for i := range generated {
		generated[i] = vocabulary[i%len(vocabulary)]
	}
	return generated
}

// bytesPerToken is approximately the average of tokenizers for English text.
const bytesPerToken = 4

func estimateTokens(m json.RawMessage) int { return len(m)/bytesPerToken + 1 }
