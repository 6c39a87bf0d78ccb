#pragma once

#include <string_view>

namespace auburndoor {

/** Why a call was refused for the key that it carries, or lacks. */
enum class KeyRefusal {
    None,
    /** The queue needs a key and the call carries none. */
    NoKey,
    /** No account of the desired state has the key. */
    UnknownKey,
    /** The call names a job of another account. */
    OtherAccount,
};

/** The name of the cause in metrics and log events. */
std::string_view name(KeyRefusal refusal);

} // namespace auburndoor
