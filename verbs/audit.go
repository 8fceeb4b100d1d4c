package verbs

import (
	"context"
	"fmt"
	"time"

	"currantwick"
	"currantwick/pause"

	"github.com/spf13/pflag"
)

const (
	// auditRetryDelay is the pause after a failed read with -follow.
	auditRetryDelay = time.Second
	// followWait and readWait bound how long a read waits for a new entry, with
	// -follow and without it.
	followWait = 10 * time.Second
	readWait   = 500 * time.Millisecond
)

var auditVerb = verb{
	name:  "audit",
	short: "read the audit trail: every change and its verdict",
	example: `currantwick audit -operator ana
  currantwick audit -follow -rejected
  currantwick audit -change change-5f2e8c0a11d3b7c9`,
	define: defineAudit,
}

// auditFlags are the flags of audit.
type auditFlags struct {
	adminFlags
	from     uint64
	follow   bool
	operator string
	change   string
	rejected bool
	json     bool
}

func (f *auditFlags) register(flags *pflag.FlagSet) {
	f.adminFlags.register(flags)
	flags.Uint64Var(&f.from, "from", 1, "`offset` in the audit trail to start at")
	flags.BoolVar(&f.follow, "follow", false, "keep waiting for new entries")
	flags.StringVar(&f.operator, "operator", "", "print only changes by this `operator`")
	flags.StringVar(&f.change, "change", "", "print only the change with this `id`")
	flags.BoolVar(&f.rejected, "rejected", false, "print only rejected changes")
	flags.BoolVar(&f.json, "json", false, "print JSON lines")
}

func (f *auditFlags) matches(v wick.Verdict) bool {
	return (f.operator == "" || v.Operator == wick.OperatorName(f.operator)) &&
		(f.change == "" || v.Change == wick.ChangeID(f.change)) &&
		(!f.rejected || !v.Accepted())
}

func defineAudit(flags *pflag.FlagSet) action {
	var f auditFlags
	f.register(flags)
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		r := auditReader{f: f, env: env, client: c, next: wick.Offset(max(f.from, 1))}
		return r.run(ctx)
	}
}

// auditReader prints the audit trail. Daemons may write a verdict twice, so it
// skips verdicts that it has already read.
type auditReader struct {
	f      auditFlags
	env    Env
	client *client
	// next is the offset in the audit trail to read from.
	next wick.Offset
	// seen holds the offsets of the changes whose verdicts have been read.
	seen map[wick.Offset]bool
}

func (r *auditReader) run(ctx context.Context) (Code, error) {
	r.seen = make(map[wick.Offset]bool)
	wait := readWait
	if r.f.follow {
		wait = followWait
	}
	for {
		list, err := r.client.audit(ctx, r.next, wait)
		switch {
		case ctx.Err() != nil:
			return Done, nil
		case err != nil && !r.f.follow:
			return Failed, fmt.Errorf("read the audit trail: %w", err)
		case err != nil:
			fmt.Fprintf(r.env.Err, "read the audit trail: %v\n", err)
			pause.For(ctx, auditRetryDelay)
		case len(list) == 0 && !r.f.follow:
			return Done, nil
		}
		for _, e := range list {
			r.next = e.Offset + 1
			if err := r.printEntry(e); err != nil {
				return Failed, err
			}
		}
	}
}

func (r *auditReader) printEntry(e wick.Entry) error {
	v := e.Record.Verdict
	if e.Bad || v == nil || r.seen[v.Offset] {
		return nil
	}
	r.seen[v.Offset] = true
	if !r.f.matches(*v) {
		return nil
	}
	if r.f.json {
		return printJSON(r.env.Out, v)
	}
	at := time.UnixMilli(e.Time).UTC().Format(time.RFC3339)
	result := "accepted"
	if !v.Accepted() {
		result = "rejected"
	}
	fmt.Fprintf(r.env.Out, "%s  offset %d  %s  by %s  %s\n", at, v.Offset, v.Change, v.Operator, result)
	for _, violation := range v.Violations {
		fmt.Fprintf(r.env.Out, "    %s\n", violation.Error())
	}
	return nil
}
