#include "dispatch/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace auburndoor {

namespace {

// Without ends a worker has the speed of its kind, which counts as much as this many ends until there are several.
constexpr std::size_t priorEnds = 2;
constexpr std::size_t endsWithoutPrior = 8;
// A worker has turned slow or fast if so many of its latest ends differ from its speed by more than this logarithm (a factor of
// 1.35). One task in twenty may take seven times as long: fewer ends would mistake these for a slow worker, and a slow worker that
// recovers would be noticed late if one of them were not allowed in between.
constexpr std::size_t endsOfTurn = 4;
constexpr std::size_t endsSearchedForTurn = 5;
constexpr double minLogTurn = 0.3;
// Noise of a fifth in run times leaves this much in the median of a window, and less in the mean of many workers.
constexpr double maxLogNoise = 0.15;
constexpr double maxLogNoiseOfKind = 0.05;
// Changes of a worker's speed by more than this logarithm (a factor of 1.5) are worth a line in the log.
constexpr double minLogReport = 0.4;
// Bounds the effect of run times that are not what they seem.
constexpr double maxLogSpeed = 2.3;

std::string kindOf(const WorkerEntry &entry)
{
    return entry.labels.empty() ? std::string() : entry.labels.front();
}

double logarithm(Milliseconds time)
{
    return std::log(static_cast<double>(std::max<Milliseconds::rep>(time.count(), 1)));
}

} // namespace

std::shared_ptr<const ImageTime> WorkerSpeeds::imageTime(const std::string &service, const std::string &image, TimePoint now)
{
    const Key key { service, image };
    findOrAddImage(key, now);
    return images_.at(key);
}

ImageTime &WorkerSpeeds::findOrAddImage(const Key &key, TimePoint now)
{
    auto found = images_.find(key);
    if (found == images_.end()) {
        if (images_.size() >= maxImages) {
            dropOldestImage();
        }
        found = images_.emplace(key, std::make_shared<ImageTime>()).first;
    }
    found->second->seenAt = now;
    return *found->second;
}

void WorkerSpeeds::dropOldestImage()
{
    images_.erase(std::min_element(images_.begin(), images_.end(), [](const auto &left, const auto &right) {
        return left.second->seenAt < right.second->seenAt;
    }));
}

WorkerSpeeds::Worker &WorkerSpeeds::findOrAddWorker(const WorkerEntry &entry)
{
    if (findWorker(entry) == nullptr) {
        forget(entry.id);
        auto &worker = workers_[entry.id];
        worker.service = entry.service;
        worker.kind = kindOf(entry);
        worker.incarnation = entry.incarnation;
        worker.logSpeed = meanOfKind(worker.service, worker.kind);
        worker.reportedLogSpeed = worker.logSpeed;
    }
    return workers_[entry.id];
}

const WorkerSpeeds::Worker *WorkerSpeeds::findWorker(const WorkerEntry &entry) const
{
    const auto found = workers_.find(entry.id);
    const bool isSame = found != workers_.end() && found->second.incarnation == entry.incarnation
                        && found->second.service == entry.service && found->second.kind == kindOf(entry);
    return isSame ? &found->second : nullptr;
}

void WorkerSpeeds::forget(const std::string &id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end()) {
        count(found->second, -1);
        workers_.erase(found);
    }
}

void WorkerSpeeds::count(const Worker &worker, int sign)
{
    if (!worker.isLearned) {
        return;
    }
    for (auto *sum : { &services_[worker.service], &kinds_[{ worker.service, worker.kind }] }) {
        sum->count += sign;
        // Without workers nothing is left of rounding errors.
        sum->total = sum->count == 0 ? 0.0 : sum->total + sign * worker.logSpeed;
    }
}

double WorkerSpeeds::meanOfService(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0.0 : found->second.mean();
}

double WorkerSpeeds::meanOfKind(const std::string &service, const std::string &kind) const
{
    const auto found = kinds_.find({ service, kind });
    return found == kinds_.end() || found->second.count == 0 ? meanOfService(service) : found->second.mean();
}

std::optional<Milliseconds> WorkerSpeeds::addImageSample(ImageTime &image, const std::string &service, double logTime)
{
    image.samples.add(logTime);
    image.isLearned = image.samples.size() >= minImageEnds;
    image.time = Milliseconds(std::llround(std::exp(image.samples.median(0, 0) - meanOfService(service))));
    const bool isReported = image.reportedTime > Milliseconds(0);
    if (!image.isLearned || (isReported && std::abs(logarithm(image.time) - logarithm(image.reportedTime)) < minLogReport)) {
        return std::nullopt;
    }
    image.reportedTime = image.time;
    return image.time;
}

void WorkerSpeeds::addWorkerSample(Worker &worker, double logSpeed)
{
    count(worker, -1);
    worker.samples.add(logSpeed);
    const auto hasTurned = [&worker](double direction) {
        std::size_t differing = 0;
        for (std::size_t age = 0; age < std::min(endsSearchedForTurn, worker.samples.size()); ++age) {
            differing += (worker.samples.latest(age) - worker.logSpeed) * direction > minLogTurn ? 1 : 0;
        }
        return differing >= endsOfTurn;
    };
    if (hasTurned(1) || hasTurned(-1)) {
        worker.samples.keepLatest(endsSearchedForTurn);
    }
    const auto priorCount = worker.samples.size() < endsWithoutPrior ? priorEnds : 0;
    worker.logSpeed = worker.samples.median(meanOfKind(worker.service, worker.kind), priorCount);
    worker.isLearned = worker.samples.size() >= minWorkerEnds;
    count(worker, 1);
}

WorkerSpeeds::Changes WorkerSpeeds::addEnd(const WorkerEntry &entry, const std::string &image, Milliseconds runTime, TimePoint now)
{
    auto &worker = findOrAddWorker(entry);
    auto &known = findOrAddImage({ entry.service, image }, now);
    const auto logTime = logarithm(runTime);
    if (known.isLearned) {
        addWorkerSample(worker, known.samples.median(0, 0) - logTime);
    }
    Changes changes;
    changes.imageTime = addImageSample(known, entry.service, logTime + worker.logSpeed);
    if (worker.isLearned && std::abs(worker.logSpeed - worker.reportedLogSpeed) >= minLogReport) {
        const auto mean = meanOfService(entry.service);
        changes.speed = { std::exp(worker.reportedLogSpeed - mean), std::exp(worker.logSpeed - mean) };
        worker.reportedLogSpeed = worker.logSpeed;
    }
    return changes;
}

WorkerSpeeds::Changes WorkerSpeeds::addGangEnd(const std::string &service,
                                               const std::string &image,
                                               Milliseconds runTime,
                                               double slowestSpeed,
                                               TimePoint now)
{
    const auto logSpeed = std::log(slowestSpeed) + meanOfService(service);
    return { std::nullopt, addImageSample(findOrAddImage({ service, image }, now), service, logarithm(runTime) + logSpeed) };
}

double WorkerSpeeds::relativeLogSpeed(const std::string &service, const std::string &kind, const Worker *worker) const
{
    const auto mean = meanOfService(service);
    const auto kindMean = meanOfKind(service, kind);
    if (worker != nullptr && worker->isLearned && std::abs(worker->logSpeed - kindMean) > maxLogNoise) {
        return worker->logSpeed - mean;
    }
    return std::abs(kindMean - mean) > maxLogNoiseOfKind ? kindMean - mean : 0.0;
}

double WorkerSpeeds::speed(const WorkerEntry &entry) const
{
    const auto logSpeed = relativeLogSpeed(entry.service, kindOf(entry), findWorker(entry));
    return logSpeed == 0.0 ? 1.0 : std::exp(std::clamp(logSpeed, -maxLogSpeed, maxLogSpeed));
}

std::size_t WorkerSpeeds::learnedImageCount() const
{
    return static_cast<std::size_t>(
        std::count_if(images_.begin(), images_.end(), [](const auto &entry) { return entry.second->isLearned; }));
}

} // namespace auburndoor
