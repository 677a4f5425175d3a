package command

const rootHelp = `Submits jobs for callers, and checks, applies and inspects change tickets for operators.

Exit codes: 0 done; 1 other failure; 2 wrong command line; 3 findings in an input, nothing changed; 4 another ticket was accepted first, nothing changed; 5 store, instance list or entry instance not reachable; 6 a job was answered failed or not_run; 7 the outcome is unknown; 8 no such object; 9 a ticket is not in force everywhere.`

const sessionOpenHelp = `Opens a session at an entry instance. The token that is printed can be used with --session of the job commands.

Example: marigoldctl --entry http://127.0.0.1:7400 --caller rug-dealers session open`

const jobSubmitHelp = `Submits the jobs of a TOML file, each once, and waits for their answers. Progress goes to the error output. A job that is answered unknown is not submitted again: it may have run.

A file holds [[jobs]] with service, repeatable, timeout_ms, memory_mb, accelerators and count, each with [[jobs.tasks]] that hold payload, declared_ms and count.

Example: marigoldctl --entry http://127.0.0.1:7400 --caller rug-dealers job submit examples/guild/jobs.toml --parallel 16`

const jobCollectHelp = `Asks for the answer of a submitted job. An answer is kept until a later submission of the session acknowledges it.

Example: marigoldctl --entry http://127.0.0.1:7400 --caller rug-dealers job collect --session TOKEN --seq 3 --wait 5s`

const jobCancelHelp = `Cancels a job that has no answer yet and prints its final answer.

Example: marigoldctl --entry http://127.0.0.1:7400 --caller rug-dealers job cancel --session TOKEN --seq 3`

const ticketCheckHelp = `Checks a ticket file against the newest configuration and shows what it would change. Nothing is written. Findings name the file, line and key.

Example: marigoldctl --store 127.0.0.1:7300 ticket check change.toml`

const ticketApplyHelp = `Numbers the ticket after the newest one and writes it to the store. Exactly one ticket gets each number: if another operator was faster, the command ends with exit code 4 and shows what the other ticket changed. With --wait it then waits until the ticket is in force at every entry instance named by --entry.

Example: marigoldctl --store 127.0.0.1:7300 --entry http://127.0.0.1:7400 ticket apply change.toml --wait 10s`

const ticketShowHelp = `Shows an accepted ticket: author, reason, digest and the objects that it puts or deletes.

Example: marigoldctl --store 127.0.0.1:7300 ticket show 12`

const ticketDiffHelp = `Shows what differs between the configurations after two tickets. Number 0 is the empty configuration.

Example: marigoldctl --store 127.0.0.1:7300 ticket diff 11 12`

const ticketVerifyHelp = `Applies all tickets up to a number in order and compares each digest.

Example: marigoldctl --store 127.0.0.1:7300 ticket verify 12`

const ticketStatusHelp = `Asks the entry instances named by --entry which ticket they have in force. Peers of these instances that are not named by --entry are shown with the last number that their peers have received. Exit code 9 means that an instance that is not draining is behind or did not respond.

Example: marigoldctl --entry http://127.0.0.1:7400 --entry http://127.0.0.1:7401 ticket status 12`

const ownerHelp = `Shows who owns a caller, its team and its services, from the newest configuration or from that of an earlier ticket.

Example: marigoldctl --store 127.0.0.1:7300 owner rug-dealers --as-of 12`

const targetsHelp = `Shows which targets serve a service or, without one, any service of the caller named by --caller, from the newest configuration or from that of an earlier ticket.

Example: marigoldctl --store 127.0.0.1:7300 targets appraisal-desk
Example: marigoldctl --store 127.0.0.1:7300 targets --caller rug-dealers`

const instancesHelp = `Shows the platform's list of entry instances and targets. The list lags behind the actual state.

Example: marigoldctl --instance-list http://127.0.0.1:7300 --region gh-south instances`

const poolStatusHelp = `Asks instances for leased targets for their state, the configuration in force, the shards that they hold, and their load. Instances that do not answer are named on the error output.

Example: marigoldctl pool status --instance http://127.0.0.1:7420 --instance http://127.0.0.1:7421`

const poolTargetsHelp = `Shows the targets that the instances own, or only the one named by ID: owner, fencing token, whether it gets new work or why not, free and total cores, the remaining time of its lease, and its learned run time relative to the others.

Example: marigoldctl pool targets --instance http://127.0.0.1:7420 i-874bba2381`

const poolJobsHelp = `Shows the jobs that the instances run or hold back, with the number of tasks done, running and waiting. A job that is not listed is already answered or has another owner; its id leads to its log lines.

Example: marigoldctl pool jobs --instance http://127.0.0.1:7420`

const poolCheckHelp = `Checks a configuration file before it is written to the platform's store, and shows what differs from another one with --against: a file, or the metrics address of an instance, whose configuration in force is read. Nothing is written. Errors are what instances refuse, or refuse requests for. Warnings are entries that can never take effect, and values that contradict each other; with --instance they include services without targets, for which all instances have to be named. Findings name the file, line and key. Exit code 3 means that there are errors.

Example: marigoldctl pool check change.json --against http://127.0.0.1:7420`
