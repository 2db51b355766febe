// Package generator is the load model of the benchmarks: arrivals, program
// shapes, tool pauses and the users' two deployments. It is pure: an equal seed
// gives equal programs.
//
// # Usage
//
//	deployment := generator.Lichtbeeld()
//	source := generator.New(deployment, generator.DefaultShape(), rate, seed)
//	for {
//		program := source.Next() // program.Arrival rises
//	}
//
// # Reasons for the numbers
//
// Turns are log-normal with a median of 6 and a long tail up to the limit of 72:
// most quotes and invoices need a few calls, a late payer or a hotel many.
// Histories start with notes, mails or an earlier conversation (median 1,500
// tokens, tail to 200,000) and grow by tool results (median 500 tokens) and
// answers (median 120 tokens) up to 250,000 tokens. Each service has three shared
// prefixes of 2,000 to 4,000 tokens: its instructions and tool descriptions for
// the three kinds of work. Pauses are those of a look-up (0.3 s), a mail (1.5 s),
// a rendered document (3 s), an answer of a person (25 s), and calls of the
// deployment's plain service, which are scheduled themselves. One program in
// twelve starts two or three sub-agents once.
package generator
