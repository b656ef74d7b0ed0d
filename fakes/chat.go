package fakes

import (
	"encoding/json"
)

// completion is an answer in the usual chat-completions shape.
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

func (g generation) usage() *usage {
	return &usage{PromptTokens: g.Prompt, CompletionTokens: g.Tokens}
}

func wholeAnswer(g generation, text string) completion {
	return completion{
		Object: "chat.completion", Model: g.Model, Usage: g.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: "stop"}},
	}
}

func chunk(g generation, text string, last bool) completion {
	c := completion{Object: "chat.completion.chunk", Model: g.Model, Choices: []choice{{Delta: &message{Content: text}}}}
	if last {
		c.Choices[0].FinishReason = "stop"
		c.Usage = g.usage()
	}
	return c
}

var vocabulary = []string{"the", "room", "is", "free", "on", "friday", "and", "we", "hold", "it", "for", "you"}

func words(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = vocabulary[i%len(vocabulary)]
	}
	return list
}

// bytesPerToken is about what tokenizers make of English text.
const bytesPerToken = 4

func countTokens(m json.RawMessage) int { return len(m)/bytesPerToken + 1 }
