#pragma once

#include "declaration/Declaration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburndoor {

class Metrics;

/** Holds the configuration in force in this process, whose version only rises. Any thread may call the members. */
class ConfigurationHolder
{
public:
    /** Called with each version that comes into force. */
    using Listener = std::function<void(const std::shared_ptr<const VersionedDeclaration> &)>;

    explicit ConfigurationHolder(Metrics &metrics);

    /** The configuration in force; never null. Before the first version it has version 0 and declares nothing. */
    std::shared_ptr<const VersionedDeclaration> current() const;

    /**
        Puts a version in force if it is higher than the one in force and its text has the digest and is valid.

        Logs and counts a text that has another digest or is invalid. Calls the listeners before it returns.

        @param source where the version comes from, for the log and as label of the counter "configuration_taken_total"
        @return the version in force afterwards
    */
    long long install(long long version, const std::string &digest, const std::string &text, const std::string &source);

    /**
        Adds a listener, and calls it on this thread before returning if a version is in force.

        Listeners are called one at a time and in the order of versions, on the thread that calls install(). They must not call
        install() or addListener(), directly or indirectly: these hold a mutex during the call.
    */
    void addListener(Listener listener);

private:
    Metrics &metrics_;
    /** Held while a version is put in force and the listeners are called, so that they see versions in order. */
    std::mutex installMutex_;
    std::vector<Listener> listeners_;
    /** Guards current_; not held while listeners are called. */
    mutable std::mutex currentMutex_;
    std::shared_ptr<const VersionedDeclaration> current_;
};

} // namespace auburndoor
