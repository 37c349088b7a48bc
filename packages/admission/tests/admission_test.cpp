#include "sardinerill/admission/admission.h"
#include "sardinerill/admission/keys.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

const Instant Now(seconds(100));
const Freshness Fresh{Now - seconds(1), seconds(10)};
const Freshness Stale{Now - seconds(11), seconds(10)};

struct Setting {
  NewKey Good = makeKey(KeyId("good"));
  NewKey Gone = makeKey(KeyId("gone"));
  std::shared_ptr<Fleet> Config = std::make_shared<Fleet>();

  Setting() {
    this->Gone.Record.Withdrawn = true;
    Team Ingoma;
    Ingoma.Id = TeamId("ingoma");
    Ingoma.Keys = {this->Good.Record, this->Gone.Record};
    this->Config->Teams[Ingoma.Id] = Ingoma;
    WorkClass Keyed;
    Keyed.Id = ClassId("pattern");
    WorkClass Open = Keyed;
    Open.Id = ClassId("hello");
    Open.Open = true;
    WorkClass Once = Keyed;
    Once.Id = ClassId("quote");
    Once.Idempotent = false;
    for (const WorkClass &Class : {Keyed, Open, Once})
      this->Config->Classes[Class.Id] = Class;
  }

  ErrorKind refusal(const std::string &Class, std::optional<std::string> Key,
                    Freshness Known = Fresh) const {
    auto Outcome =
        Admission(this->Config)
            .admit({ClassId(Class), std::move(Key), false}, Known, Now);
    return Outcome ? ErrorKind::Count : Outcome.error().Kind;
  }
};

} // namespace

TEST_CASE("work is taken only for the team whose key came with it") {
  Setting Site;
  auto Taken =
      Admission(Site.Config)
          .admit({ClassId("pattern"), Site.Good.Text, false}, Fresh, Now);
  REQUIRE(Taken.has_value());
  CHECK(Taken->Team == TeamId("ingoma"));
  CHECK(Site.refusal("pattern", std::nullopt) == ErrorKind::KeyMissing);
  CHECK(Site.refusal("pattern", "nonsense") == ErrorKind::KeyUnknown);
  CHECK(Site.refusal("pattern", Site.Gone.Text) == ErrorKind::KeyWithdrawn);
  CHECK(Site.refusal("none", Site.Good.Text) == ErrorKind::ClassUnknown);
  CHECK(Site.refusal("quote", Site.Good.Text) ==
        ErrorKind::IdempotencyKeyMissing);
}

TEST_CASE("without proof of freshness only open work without a key goes on") {
  Setting Site;
  CHECK(Site.refusal("pattern", Site.Good.Text, Stale) ==
        ErrorKind::KeyNotFresh);
  CHECK(Site.refusal("hello", Site.Good.Text, Stale) == ErrorKind::KeyNotFresh);
  CHECK(Site.refusal("hello", std::nullopt, Stale) == ErrorKind::Count);
}

TEST_CASE("a caller's key opens nothing of the operators'") {
  Setting Site;
  const NewKey Operator = makeKey(KeyId("ann"));
  Site.Config->OperatorKeys = {Operator.Record};
  const Admission Door(Site.Config);
  CHECK(Door.admitOperator(Operator.Text).has_value());
  CHECK_FALSE(Door.admitOperator(Site.Good.Text).has_value());
  CHECK(Site.refusal("pattern", Operator.Text) == ErrorKind::KeyUnknown);
}

TEST_CASE("a key with one changed letter is not the key") {
  Setting Site;
  CHECK(rc::check("changed keys", [&] {
    std::string Text = Site.Good.Text;
    const auto Place = *rc::gen::inRange<std::size_t>(0, Text.size());
    const char Other = *rc::gen::arbitrary<char>();
    RC_PRE(Text[Place] != Other);
    Text[Place] = Other;
    RC_ASSERT(Site.refusal("pattern", Text) == ErrorKind::KeyUnknown);
  }));
}
