package prompt

import "strings"

// Message is one message of a chat.
type Message struct {
	// Role is "system", "user", "assistant" or "tool".
	Role string `json:"role"`
	// Content is the message's text.
	Content string `json:"content"`
}

// Render returns a chat as the text that an engine completes: each message after a
// header with its role, then the header of the response. The rendering of a chat is a
// prefix of the rendering of the same chat with the response and more messages, so that
// their block chains share a prefix too.
func Render(messages []Message) string {
	var b strings.Builder

	for _, m := range messages {
		writeRole(&b, m.Role)
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}

	writeRole(&b, "assistant")

	return b.String()
}

func writeRole(b *strings.Builder, role string) {
	b.WriteString("<|")
	b.WriteString(role)
	b.WriteString("|>\n")
}
