package prompt

import "strings"

// Message is one message of a chat.
type Message struct {
	// Role is "system", "user", "assistant" or "tool".
	Role string `json:"role"`
	// Content is the text.
	Content string `json:"content"`
}

// Render writes a chat as the text that an engine completes: each message under
// its role, then the opening of the answer. The rendering of a chat is a prefix
// of the rendering of the same chat with the answer and more messages, which is
// what lets a context be recognised when it returns.
func Render(messages []Message) string {
	var b strings.Builder

	for _, m := range messages {
		open(&b, m.Role)
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}

	open(&b, "assistant")

	return b.String()
}

func open(b *strings.Builder, role string) {
	b.WriteString("<|")
	b.WriteString(role)
	b.WriteString("|>\n")
}
