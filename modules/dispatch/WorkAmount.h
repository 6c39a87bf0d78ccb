#pragma once

#include "core/Clock.h"
#include "core/Resources.h"

#include <cstdint>

namespace auburndoor {

/** An amount of work: thousandths of a core times milliseconds. */
using WorkAmount = std::int64_t;

/** What a task with this need does within the duration. An accelerator counts as eight cores, memory as nothing. */
WorkAmount workOf(const Resources &need, Milliseconds duration);

} // namespace auburndoor
