#pragma once

#include "core/Clock.h"
#include "dispatch/ImageTime.h"
#include "dispatch/SampleWindow.h"
#include "workload/WorkerEntry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace auburndoor {

/**
    Learns the relative speed of each worker and the run time of each image on a worker of usual speed, from ends of runs.

    The run time of a task is that of its image, divided by the worker's speed, times noise with a heavy tail. So medians of
    logarithms count, and an image teaches the speeds of workers only once several of its own runs have ended. The geometric mean of
    the learned speeds of a service is 1. A worker whose speed is close to the mean of its kind has exactly that mean, and a kind
    close to the mean of the service has 1, so that noise alone makes no differences between even workers. All in memory: a new
    owner learns again. For one thread.
*/
class WorkerSpeeds
{
public:
    /** The most images whose run times are kept; the one not seen for longest is dropped first. */
    static constexpr std::size_t maxImages = 1000;
    /** The ends after which the run time of an image counts, and teaches the speeds of workers. */
    static constexpr std::size_t minImageEnds = 8;
    /** The ends after which a worker's own speed counts. */
    static constexpr std::size_t minWorkerEnds = 3;

    /** What an end has changed notably since the last change that was reported: each is worth a line in the log. */
    struct Changes
    {
        /** The speed of the worker, before and after. */
        std::optional<std::pair<double, double>> speed;
        /** The run time of the image, also once it is learned. */
        std::optional<Milliseconds> imageTime;
    };

    /**
        The run time of an image on the workers of a service; never null, and it follows later ends.

        One that is dropped for others stays valid for those that hold it, but learns no more.
    */
    std::shared_ptr<const ImageTime> imageTime(const std::string &service, const std::string &image, TimePoint now);

    /**
        Follows the end of a run that was done.

        @param runTime of the whole task, without a resumed part or throttled time
    */
    Changes addEnd(const WorkerEntry &worker, const std::string &image, Milliseconds runTime, TimePoint now);

    /** As addEnd() for a gang, whose run time depends on its slowest worker. @param slowestSpeed of the workers of its members */
    Changes addGangEnd(const std::string &service,
                       const std::string &image,
                       Milliseconds runTime,
                       double slowestSpeed,
                       TimePoint now);

    /** The relative speed of a worker: the mean of its kind until enough runs have ended on this incarnation, else 1. */
    double speed(const WorkerEntry &worker) const;

    /** Forgets a worker that is gone. */
    void forget(const std::string &worker);

    /** The number of images whose run times are kept. */
    std::size_t imageCount() const
    {
        return images_.size();
    }
    /** The number of images whose run times are learned. */
    std::size_t learnedImageCount() const;

private:
    struct Worker
    {
        std::string service;
        std::string kind;
        std::int64_t incarnation = 0;
        /** Logarithms of the speed. */
        SampleWindow samples;
        double logSpeed = 0;
        double reportedLogSpeed = 0;
        /** It counts in the means. */
        bool isLearned = false;
    };
    /** The sum of logarithmic speeds. */
    struct Sum
    {
        double total = 0;
        int count = 0;
        double mean() const
        {
            return count == 0 ? 0.0 : total / count;
        }
    };
    using Key = std::pair<std::string, std::string>;

    ImageTime &findOrAddImage(const Key &key, TimePoint now);
    void dropOldestImage();
    /** The worker's state; that of an earlier incarnation, service or kind is replaced. */
    Worker &findOrAddWorker(const WorkerEntry &entry);
    /** Null if nothing is known of this incarnation. */
    const Worker *findWorker(const WorkerEntry &entry) const;
    /** Adds the worker to the means, or takes it out. @param sign 1 or -1 */
    void count(const Worker &worker, int sign);
    /** The mean of a kind if some worker of it is learned, else that of the service; logarithmic. */
    double meanOfKind(const std::string &service, const std::string &kind) const;
    double meanOfService(const std::string &service) const;
    /** @return the new time if it has changed notably */
    std::optional<Milliseconds> addImageSample(ImageTime &image, const std::string &service, double logTime);
    void addWorkerSample(Worker &worker, double logSpeed);
    /** The logarithmic speed of a worker in relation to the service, once differences that noise can make are left out. */
    double relativeLogSpeed(const std::string &service, const std::string &kind, const Worker *worker) const;

    std::map<Key, std::shared_ptr<ImageTime>> images_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, Sum> services_;
    /** By service and kind. */
    std::map<Key, Sum> kinds_;
};

} // namespace auburndoor
