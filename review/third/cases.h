#ifndef REVIEW_THIRD_CASES_H_
#define REVIEW_THIRD_CASES_H_

#include "deployment.h"

namespace review {

enum class verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// The cases play a small deployment. Without `disrupted` they do the same
// without the disruption.
verdict HeldRequest(deployment& system, record& log, bool disrupted);
verdict FalseRefusal(deployment& system, record& log, bool disrupted);
verdict CancelAfterRouteRemoved(deployment& system,
                                record& log,
                                bool disrupted);
verdict StartWithoutLabel(deployment& system, record& log, bool disrupted);

}  // namespace review

#endif  // REVIEW_THIRD_CASES_H_
