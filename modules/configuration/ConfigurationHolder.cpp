#include "configuration/ConfigurationHolder.h"

#include "core/ValidationProblem.h"
#include "declaration/DeclarationParser.h"
#include "declaration/Digest.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

namespace auburndoor {

ConfigurationHolder::ConfigurationHolder(Metrics &metrics)
    : metrics_(metrics), current_(std::make_shared<const VersionedDeclaration>())
{
}

std::shared_ptr<const VersionedDeclaration> ConfigurationHolder::current() const
{
    const std::lock_guard lock(currentMutex_);
    return current_;
}

long long ConfigurationHolder::install(long long version,
                                       const std::string &digest,
                                       const std::string &text,
                                       const std::string &source)
{
    const auto before = current()->version;
    if (version <= before) {
        return before;
    }
    if (Digest::of(text) != digest) {
        metrics_.count("configuration_refused_bodies_total", "digest");
        Log::error("configuration-digest-wrong", { { "version", std::to_string(version) }, { "source", source } });
        return before;
    }
    ValidationProblems problems;
    auto declaration = DeclarationParser::parse(text, problems);
    if (!declaration) {
        metrics_.count("configuration_refused_bodies_total", "invalid");
        Log::error("configuration-body-invalid",
                   { { "version", std::to_string(version) }, { "source", source }, { "problem", problems.front().text() } });
        return before;
    }
    auto installed = std::make_shared<const VersionedDeclaration>(
        VersionedDeclaration { version, digest, text, std::move(*declaration) });
    const std::lock_guard installLock(installMutex_);
    {
        const std::lock_guard lock(currentMutex_);
        if (version <= current_->version) {
            return current_->version;
        }
        current_ = installed;
    }
    metrics_.setGauge("configuration_version", static_cast<double>(version));
    metrics_.count("configuration_taken_total", source);
    Log::info("configuration-taken", { { "version", std::to_string(version) }, { "digest", digest }, { "source", source } });
    for (const auto &listener : listeners_) {
        listener(installed);
    }
    return version;
}

void ConfigurationHolder::addListener(Listener listener)
{
    const std::lock_guard lock(installMutex_);
    const auto inForce = current();
    if (inForce->version > 0) {
        listener(inForce);
    }
    listeners_.push_back(std::move(listener));
}

} // namespace auburndoor
