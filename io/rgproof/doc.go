// Package rgproof holds tests that run the processes of the system, inject faults and check the recorded history against
// the invariants. Test messages refer to the invariants by number:
//
//  1. A task of a submission starts at most once.
//  2. The answer to a job is complete or failed, never partial.
//  3. An answer has the results of the tasks of its own submission, in their order.
//  4. The verdict notRun is true, and a task starts only while a submission of it may be active.
//  5. A task that is not idempotent runs at most once. Tests check this together with invariant 1.
//  6. The upstream of a sidecar that shuts down gets no task of a job that is submitted more than 3 s after the signal.
//  7. A graceful shutdown disconnects no caller, and every job is complete or refused with the verdict notRun.
//  8. A configuration comes into force at every entry, and no entry reverts to a lower revision.
package rgproof
