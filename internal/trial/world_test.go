package trial

import (
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func TestThinPath(t *testing.T) {
	w, err := NewWorld(t.Context(), Settings{Zones: []string{"a", "b", "c"}, Engines: 1, Versions: []string{"small@1", "large@1"}, Services: []string{"booking"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := Publish(t.Context(), w); err != nil {
		t.Fatal(err)
	}
	c := w.Caller("instance-a", "key-lysror-1")
	r, err := c.Chat(t.Context(), client.ChatRequest{Model: "lysror-reports", Messages: []client.Message{{Role: "user", Content: "Dossier 1 tokens=30 please"}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r.Choices[0].Message.Content == standin.AnswerText(r.Model, "Dossier 1 tokens=30 please", 30), r.Model, r.Usage)
	b, err := w.Operator("instance-b").Bills(t.Context(), 0)
	t.Log(b, err)
	res, err := c.Service(t.Context(), "POST", "booking", "orders", []byte(`{"lorry":1}`))
	if err != nil {
		t.Fatal(err)
	}
	t.Log(res.Status)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	_ = record.Micros(0)
}
