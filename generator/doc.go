// Package generator generates the load of the benchmarks: program arrivals, the turns
// and tool pauses of each program, and the two reference deployments. The same seed
// gives the same programs.
//
// # Usage
//
//	deployment := generator.Lichtbeeld()
//	source := generator.New(deployment, generator.DefaultShape(), rate, seed)
//	for {
//		program := source.Next() // in order of program.Arrival
//	}
//
// # Reasons for the default shape
//
// The number of turns is log-normal with a median of 6 and a long tail up to the
// limit of 72: most quotes and invoices need a few calls, a late payer or a hotel
// needs many. Histories start with notes, mails or an earlier conversation (median
// 1,500 tokens, tail to 200,000). They grow by tool results (median 500 tokens) and
// completions (median 120 tokens) up to 250,000 tokens. Each service has three shared
// prefixes of 2,000 to 4,000 tokens: the instructions and tool descriptions for its
// three kinds of work. Pauses are those of a look-up (0.3 s), a mail (1.5 s), a
// rendered document (3 s) and a person's answer (25 s). Calls of the deployment's
// plain service also separate turns, and are scheduled themselves. One program in
// twelve starts two or three sub-agents once.
package generator
