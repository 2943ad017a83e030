package ctl

import (
	"context"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"boragehub/failure"
	"boragehub/setting"
	"boragehub/setting/publication"
)

// ShowOptions are the flags of Show.
type ShowOptions struct {
	// Effective is SITE/SERVICE/ORGANISATION/WORKLOAD, of which later parts may
	// be left out; empty shows the whole text.
	Effective string
	// Version shows an older version; zero shows the one in force.
	Version uint64
}

// EffectiveValue is one line of Show with a path.
type EffectiveValue struct {
	// Key is the key in the tree.
	Key string `json:"key"`
	// Value is what is in force.
	Value string `json:"value"`
	// From is the level that names it: a path, root or default.
	From string `json:"from"`
}

// Show writes the text in force, or the values in force for a path and which
// level names each.
func (c *Config) Show(ctx context.Context, o ShowOptions) error {
	version, text, err := c.text(ctx, o.Version)
	if err != nil {
		return err
	}

	if o.Effective == "" {
		_, err := c.cfg.Terminal.Out.Write(marked(version, text))

		return err
	}

	path, err := parsePath(o.Effective)
	if err != nil {
		return err
	}

	tree, err := setting.Parse("settings", text)
	if err != nil {
		return err
	}

	return c.effective(tree, path)
}

// text returns a version's text; that in force for zero.
func (c *Config) text(ctx context.Context, version uint64) (uint64, []byte, error) {
	if version > 0 {
		text, err := publication.TextAt(ctx, c.cfg.Log, version)

		return version, text, err
	}

	version, text, err := publication.Text(ctx, c.cfg.Log)
	if err != nil {
		return 0, nil, err
	}

	if version == 0 {
		return 0, nil, failure.New(failure.NotReady, "nothing was published yet; see ctl config example")
	}

	return version, text, nil
}

// parsePath reads SITE/SERVICE/ORGANISATION/WORKLOAD.
func parsePath(s string) (setting.Path, error) {
	const levels = 4

	parts := strings.Split(s, "/")
	if len(parts) > levels {
		return setting.Path{}, fmt.Errorf("%w: %q has more levels than SITE/SERVICE/ORGANISATION/WORKLOAD", errUsage, s)
	}

	parts = append(parts, make([]string, levels-len(parts))...)

	return setting.Path{Site: parts[0], Service: parts[1], Organisation: parts[2], Workload: parts[3]}, nil
}

func (c *Config) effective(tree *setting.Tree, path setting.Path) error {
	v := reflect.ValueOf(tree.Effective(path))
	keys := setting.Keys()
	values := make([]EffectiveValue, 0, len(keys))
	rows := make([][]string, 0, len(keys))

	for i, key := range keys {
		one := EffectiveValue{key, fmt.Sprint(v.Field(i).Interface()), tree.Source(path, key)}
		values = append(values, one)
		rows = append(rows, []string{one.Key, one.Value, one.From})
	}

	return c.cfg.Terminal.table(values, []string{"KEY", "VALUE", "FROM"}, rows)
}

// History writes the newest most changes, also those that were refused.
func (c *Config) History(ctx context.Context, most int) error {
	_, entries, err := publication.Read(ctx, c.cfg.Log, most)
	if err != nil && failure.KindOf(err) != failure.BadSettings { // the newest may be of another release
		return err
	}

	if entries == nil {
		entries = []publication.Entry{}
	}

	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatUint(e.Offset, 10), e.Reason, strconv.FormatUint(e.Based, 10),
			e.At.UTC().Format(time.RFC3339), dash(e.Author), dash(e.Note),
		})
	}

	return c.cfg.Terminal.table(entries, []string{"VERSION", "RESULT", "BASED", "AT", "AUTHOR", "NOTE"}, rows)
}
