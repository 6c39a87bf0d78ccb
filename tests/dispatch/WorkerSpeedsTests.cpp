#include "dispatch/WorkerSpeeds.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <vector>

using namespace auburndoor;

namespace {

constexpr int workerCount = 60;
constexpr int imageCount = 6;

/** Workers and images with known speeds and times, whose ends are as a worker's reports show them. */
struct Site
{
    /** @param speedOf the true speed of each worker, by its number */
    explicit Site(const std::function<double(int)> &speedOf, bool hasKinds = false, unsigned seed = 1) : random(seed)
    {
        for (int number = 0; number < workerCount; ++number) {
            WorkerEntry entry;
            entry.id = "w" + std::to_string(number);
            entry.service = "desk";
            entry.labels = { hasKinds && speedOf(number) < 1 ? "old" : "new", "r" + std::to_string(number % 5) };
            entry.incarnation = 1;
            workers.push_back(entry);
            speeds.push_back(speedOf(number));
        }
    }

    Milliseconds draw(int worker, int image)
    {
        std::lognormal_distribution<double> noise(0, 0.15);
        std::uniform_real_distribution<double> delay(0, 200);
        std::bernoulli_distribution isStraggler(0.05);
        const auto time = imageTime(image) / speeds[static_cast<std::size_t>(worker)] * noise(random)
                          * (isStraggler(random) ? 7 : 1);
        return Milliseconds(std::llround(time + delay(random)));
    }

    static double imageTime(int image)
    {
        return 1000.0 + 600.0 * image;
    }

    /** @return whether it changes the worker's speed notably */
    bool end(int worker)
    {
        const int image = std::uniform_int_distribution<int>(0, imageCount - 1)(random);
        const auto &entry = workers[static_cast<std::size_t>(worker)];
        return learned.addEnd(entry, "image" + std::to_string(image), draw(worker, image), TimePoint()).speed.has_value();
    }

    void runRandomly(int ends)
    {
        for (int count = 0; count < ends; ++count) {
            end(std::uniform_int_distribution<int>(0, workerCount - 1)(random));
        }
    }

    double speedOf(int worker) const
    {
        return learned.speed(workers[static_cast<std::size_t>(worker)]);
    }

    std::mt19937 random;
    std::vector<WorkerEntry> workers;
    std::vector<double> speeds;
    WorkerSpeeds learned;
};

double quarterIsSlow(int worker)
{
    return worker % 4 == 0 ? 0.55 : 1.2;
}

} // namespace

// Guards against estimates that stragglers (one run in twenty takes seven times as long) or late reports move, and against speeds
// that swing while images and workers are learned at the same time, as after a takeover.
TEST_CASE("speeds of uneven workers and times of images are learned from noisy ends", "[speeds]")
{
    const bool hasKinds = GENERATE(false, true);
    const unsigned seed = GENERATE(range(1U, 7U));
    CAPTURE(hasKinds, seed);
    Site site(quarterIsSlow, hasKinds, seed);
    site.runRandomly(8 * workerCount);
    int misjudged = 0;
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round) {
        site.runRandomly(workerCount / 2);
        for (int worker = 0; worker < workerCount; ++worker) {
            const bool isTakenForSlow = site.speedOf(worker) < 0.8;
            misjudged += isTakenForSlow != (quarterIsSlow(worker) < 1) ? 1 : 0;
        }
    }
    CHECK(misjudged < rounds * workerCount / 100);
    double ratio = 0;
    for (int worker = 0; worker < workerCount; worker += 4) {
        ratio += site.speedOf(worker + 1) / site.speedOf(worker) / (workerCount / 4.0);
    }
    // Late reports lower the ratio by 5%, and so do fast workers that are too close to the mean to be told from it.
    CHECK(ratio == Approx(1.2 / 0.55).epsilon(0.15));
    for (int image = 0; image < imageCount; ++image) {
        const auto time = site.learned.imageTime("desk", "image" + std::to_string(image), TimePoint());
        REQUIRE(time->isLearned);
        // Reports are 100 ms late on the average.
        CHECK(static_cast<double>(time->time.count()) == Approx(Site::imageTime(image) + 100).epsilon(0.15));
    }
}

// Guards against speeds that swing while a new owner learns the images and the workers at the same time.
TEST_CASE("speeds that are learned anew after a takeover do not oscillate", "[speeds]")
{
    const unsigned seed = GENERATE(range(1U, 7U));
    CAPTURE(seed);
    Site site(quarterIsSlow, false, seed);
    std::vector<bool> isTakenForSlow(workerCount, false);
    int changes = 0;
    for (int end = 0; end < 20 * workerCount; ++end) {
        site.runRandomly(1);
        for (int worker = 0; worker < workerCount; ++worker) {
            const bool isSlow = site.speedOf(worker) < 0.8;
            changes += isSlow != isTakenForSlow[static_cast<std::size_t>(worker)] ? 1 : 0;
            isTakenForSlow[static_cast<std::size_t>(worker)] = isSlow;
        }
    }
    // One change for each slow worker, and few that stragglers among the first ends cause.
    CHECK(changes < 2 * workerCount / 4);
}

// Guards against differences that noise makes between even workers, which would change their placement.
TEST_CASE("even workers have a speed of one", "[speeds]")
{
    Site site([](int) { return 1.0; });
    int uneven = 0;
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round) {
        site.runRandomly(workerCount);
        for (int worker = 0; worker < workerCount; ++worker) {
            uneven += site.speedOf(worker) != 1.0 ? 1 : 0;
        }
    }
    CHECK(uneven < rounds * workerCount / 50);
}

// Guards against work that is placed for long on a worker that has turned slow, and against a worker that is never trusted again.
TEST_CASE("a worker that turns slow and recovers is noticed within a few ends", "[speeds]")
{
    const unsigned seed = GENERATE(range(1U, 13U));
    CAPTURE(seed);
    Site site([](int) { return 1.0; }, false, seed);
    site.runRandomly(20 * workerCount);
    // Four ends suffice unless one of them is a straggler.
    constexpr int maxEnds = 10;
    int reports = 0;
    int ends = 0;
    for (site.speeds[7] = 0.3; site.speedOf(7) > 0.6 && ends < maxEnds; ++ends) {
        reports += site.end(7) ? 1 : 0;
    }
    CHECK(ends < maxEnds);
    for (int count = 0; count < maxEnds; ++count) {
        reports += site.end(7) ? 1 : 0;
    }
    CHECK(site.speedOf(7) == Approx(0.3).epsilon(0.25));
    ends = 0;
    for (site.speeds[7] = 1; site.speedOf(7) < 0.8 && ends < maxEnds; ++ends) {
        reports += site.end(7) ? 1 : 0;
    }
    CHECK(ends < maxEnds);
    CHECK(reports >= 2);
}

// Guards against new workers and incarnations that are treated as usual ones though all of their kind are slow.
TEST_CASE("a worker without ends has the mean speed of its kind", "[speeds]")
{
    Site site(quarterIsSlow, true);
    site.runRandomly(20 * workerCount);
    auto entry = site.workers[0];
    entry.incarnation = 2;
    CHECK(site.learned.speed(entry) < 0.7);
    entry.id = "unseen";
    CHECK(site.learned.speed(entry) < 0.7);
    entry.labels = { "unknown", "r1" };
    CHECK(site.learned.speed(entry) == 1.0);
    entry.service = "other";
    CHECK(site.learned.speed(entry) == 1.0);
}

TEST_CASE("a forgotten worker and images beyond the limit take no memory", "[speeds]")
{
    Site site(quarterIsSlow);
    site.runRandomly(20 * workerCount);
    for (const auto &worker : site.workers) {
        site.learned.forget(worker.id);
    }
    CHECK(site.speedOf(0) == 1.0);
    for (std::size_t number = 0; number < WorkerSpeeds::maxImages + 100; ++number) {
        site.learned.imageTime("desk", "new" + std::to_string(number), TimePoint() + Milliseconds(1 + number));
    }
    CHECK(site.learned.imageCount() == WorkerSpeeds::maxImages);
    CHECK(site.learned.learnedImageCount() == 0);
}

// Guards against a fast member of a gang that is taken for slow, since it waits for the slowest one.
TEST_CASE("the end of a gang counts by its slowest worker, for the image alone", "[speeds]")
{
    WorkerSpeeds learned;
    for (std::size_t count = 0; count < WorkerSpeeds::minImageEnds; ++count) {
        CHECK_FALSE(learned.imageTime("desk", "gang", TimePoint())->isLearned);
        learned.addGangEnd("desk", "gang", Milliseconds(2000), 0.5, TimePoint());
    }
    const auto time = learned.imageTime("desk", "gang", TimePoint());
    CHECK(time->isLearned);
    CHECK(time->time == Milliseconds(1000));
}
