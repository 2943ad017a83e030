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
	// Effective is a path SITE/SERVICE/ORGANISATION/WORKLOAD, of which later levels may be
	// left out; empty shows the complete text.
	Effective string
	// Version is the version to show; zero is the one in force.
	Version uint64
}

// EffectiveValue is the value in force of one key, a line of the output of Show with a path.
type EffectiveValue struct {
	// Key is the key in the settings.
	Key string `json:"key"`
	// Value is the value in force.
	Value string `json:"value"`
	// From is the level that sets it: a path, root or default.
	From string `json:"from"`
}

// Show writes the text of a version, or its values in force for a path with the level that
// sets each.
func (c *ConfigCommands) Show(ctx context.Context, o ShowOptions) error {
	version, text, err := c.versionText(ctx, o.Version)
	if err != nil {
		return err
	}

	if o.Effective == "" {
		_, err := c.cfg.Terminal.Out.Write(withVersionLine(version, text))

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

	return c.writeEffective(tree, path)
}

// versionText returns a version and its text; zero is the version in force.
func (c *ConfigCommands) versionText(ctx context.Context, version uint64) (uint64, []byte, error) {
	if version > 0 {
		text, err := publication.TextAt(ctx, c.cfg.Log, version)

		return version, text, err
	}

	version, text, err := publication.CurrentText(ctx, c.cfg.Log)
	if err != nil {
		return 0, nil, err
	}

	if version == 0 {
		return 0, nil, failure.New(failure.NotReady, "no settings have been published yet; see ctl config example")
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

func (c *ConfigCommands) writeEffective(tree *setting.Tree, path setting.Path) error {
	v := reflect.ValueOf(tree.Effective(path))
	keys := setting.Keys()
	values := make([]EffectiveValue, 0, len(keys))
	rows := make([][]string, 0, len(keys))

	for i, key := range keys {
		value := EffectiveValue{key, fmt.Sprint(v.Field(i).Interface()), tree.Source(path, key)}
		values = append(values, value)
		rows = append(rows, []string{value.Key, value.Value, value.From})
	}

	return c.cfg.Terminal.writeTable(values, []string{"KEY", "VALUE", "FROM"}, rows)
}

// History writes the newest changes, at most limit, including those that were refused.
func (c *ConfigCommands) History(ctx context.Context, limit int) error {
	_, entries, err := publication.ReadHistory(ctx, c.cfg.Log, limit)
	if err != nil && failure.KindOf(err) != failure.BadSettings { // BadSettings: the newest version may be from another release
		return err
	}

	if entries == nil {
		entries = []publication.Entry{}
	}

	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatUint(e.Offset, 10), e.Reason, strconv.FormatUint(e.BaseVersion, 10),
			e.At.UTC().Format(time.RFC3339), dashIfEmpty(e.Author), dashIfEmpty(e.Note),
		})
	}

	return c.cfg.Terminal.writeTable(entries, []string{"VERSION", "RESULT", "BASED", "AT", "AUTHOR", "NOTE"}, rows)
}
