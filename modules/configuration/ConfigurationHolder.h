#pragma once

#include "declaration/Declaration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburndoor {

class Metrics;

/** Holds the configuration in force in this process; its version only rises. Any thread. */
class ConfigurationHolder
{
public:
    using Listener = std::function<void(const std::shared_ptr<const VersionedDeclaration> &)>;

    explicit ConfigurationHolder(Metrics &metrics);

    /** The configuration in force, version 0 with nothing declared before the first; never null. */
    std::shared_ptr<const VersionedDeclaration> current() const;

    /**
        Takes a version if it is higher than the one in force and its text has the digest and is valid.

        @param source where it comes from, for the counter "configuration_taken_total"
        @return the version in force afterwards
    */
    long long take(long long version, const std::string &digest, const std::string &text, const std::string &source);

    /**
        Adds a listener, and calls it at once if a version is in force.

        Listeners are called one at a time and in the order of versions, on the thread that brought the version. They must not call
        take() or addListener(), nor anything that leads there.
    */
    void addListener(Listener listener);

private:
    Metrics &metrics_;
    /** Held while a version is taken, so that listeners see versions in order. */
    std::mutex takeMutex_;
    std::vector<Listener> listeners_;
    /** Guards the pointer only. */
    mutable std::mutex currentMutex_;
    std::shared_ptr<const VersionedDeclaration> current_;
};

} // namespace auburndoor
